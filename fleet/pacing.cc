// How hard fill tasks may work beside serving ones.
#include <algorithm>

#include "fleet/scheduler.h"

namespace kestrelreel {
namespace detail {

/// Above this share of its target a serving task is pressed; below the lower
/// one it is at ease. Between them nothing changes.
constexpr double pressed_share = 0.85;
constexpr double easy_share = 0.6;
/// Slower up than down: a task over its target costs four times a paced one.
constexpr unsigned pace_step_up = 10;
constexpr unsigned least_pace = 10;

}  // namespace detail

void fleet_scheduler::pace(worker_view& it) const {
  double worst = 0;
  for (const auto& [run, row] : it.rows) {
    const fleet::step_spec* step = book_.find_step(run.task);
    if (step == nullptr || step->target_ms() <= 0) continue;
    worst = std::max(worst, row.reading() / step->target_ms());
  }
  if (worst > 1) {
    it.pace = 0;
  } else if (worst > detail::pressed_share) {
    it.pace = it.pace / 2 < detail::least_pace ? 0 : it.pace / 2;
  } else if (worst < detail::easy_share) {
    it.pace = std::min(full_pace, it.pace + detail::pace_step_up);
  }
}

}  // namespace kestrelreel

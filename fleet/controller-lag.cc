// How far the leader is behind, and what its log tells of that.
#include <algorithm>

#include "fleet/controller.h"
#include "kernel/log.h"

namespace kestrelreel {
namespace detail {

constexpr const char* service_name = "controller";
constexpr milliseconds tick_interval{100};
constexpr milliseconds report_every{1'000};

}  // namespace detail

void fleet_controller::review_lag() {
  const time_point now = clock_.now();
  lag_.tick(now - ticked_at_ - detail::tick_interval);
}

/// What makes things better but is owed to nobody comes last: a leader that is
/// behind searches less often.
void fleet_controller::search() {
  const time_point now = clock_.now();
  if (lag_.behind() &&
      now - searched_at_ < lag_.stretched(detail::tick_interval)) {
    return;
  }
  searched_at_ = now;
  move_held();
  make_room();
  scheduler_.report_waits();
}

void fleet_controller::note_looks() {
  const uint64_t looks = scheduler_.take_looks();
  if (looks == 0) return;
  load_.looks += looks;
  metrics_.counter("kestrelreel_placement_looks_total") += looks;
}

/// Runs in the book whose order was sent in no answer yet, and those whose
/// worker does not list them though it was: how far orders are behind the book.
fleet_controller::orders_behind fleet_controller::count_orders_behind() const {
  orders_behind out;
  for (const auto& [id, it] : workers_.views()) {
    for (const run_key& run : book_.runs_on(id)) {
      if (it.rows.contains(run) || lists_end(it, run)) continue;
      const bool sent = it.starts_sent_at.contains(run);
      ++(sent ? out.unlisted : out.unsent);
      if (!sent && is_lasting(run)) ++out.unsent_lasting;
    }
  }
  return out;
}

/// Once a second, and in full while the leader is behind: to count what was
/// ordered takes 2 us for each worker.
void fleet_controller::report_load() {
  const time_point now = clock_.now();
  load_.longest_lag = std::max(load_.longest_lag, lag_.lag());
  if (now - load_.since < detail::report_every) return;
  log_event line(detail::service_name,
                 lag_.behind() ? log_level::info : log_level::debug,
                 "leader-load");
  line.with("within-ms", (now - load_.since).count())
      .with("lag-ms", lag_.lag().count())
      .with("longest-lag-ms", load_.longest_lag.count())
      .with("stretch-percent", lag_.stretch_percent())
      .with("heartbeats", load_.beats)
      .with("late", load_.late)
      .with("turns", load_.turns)
      .with("answers", load_.answers)
      .with("looks", load_.looks);
  if (lag_.behind()) {
    const orders_behind orders = count_orders_behind();
    line.with("unsent", orders.unsent)
        .with("unsent-lasting", orders.unsent_lasting)
        .with("unlisted", orders.unlisted);
  }
  load_ = {};
  load_.since = now;
}

}  // namespace kestrelreel

#include "fleet/leader-lag.h"

#include <algorithm>

namespace kestrelreel {
namespace detail {

/// Growth and decay of the stretch per tick, in percent. The stretch grows
/// faster than it decays: a lagging leader must shed work before answers come
/// too late, and a leader that has caught up would lag again if it resumed all
/// duties at once.
constexpr unsigned growth_percent = 150;
constexpr unsigned decay_percent = 90;

}  // namespace detail

/// Returns the median heartbeat delay since the last tick. Unlike the mean, the
/// median ignores the few workers whose heartbeats a network cut delays, which
/// the leader can't influence.
milliseconds leader_lag::take_median() {
  if (delays_.empty()) return milliseconds(0);
  const auto middle =
      delays_.begin() + static_cast<std::ptrdiff_t>(delays_.size() / 2);
  std::nth_element(delays_.begin(), middle, delays_.end());
  const milliseconds median = *middle;
  delays_.clear();
  return median;
}

void leader_lag::tick(milliseconds late) {
  lag_ = take_median() + std::max(milliseconds(0), late);
  unsigned next = stretch_percent_;
  if (lag_ >= settings_.behind_threshold) {
    next = next * detail::growth_percent / normal_percent;
  } else if (lag_ < settings_.behind_threshold / 2) {
    next = next * detail::decay_percent / normal_percent;
  }
  stretch_percent_ =
      std::clamp(next, normal_percent, settings_.max_stretch_percent);
}

}  // namespace kestrelreel

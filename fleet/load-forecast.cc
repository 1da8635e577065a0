#include "fleet/load-forecast.h"

#include <algorithm>
#include <cmath>

namespace kestrelreel {
namespace detail {

/// Time constant: short against the users' swings of 10 s and more, long
/// against the quarter second between a worker's heartbeats.
constexpr double forecast_tau_s = 0.25;
/// One reading far off, of a worker in trouble, moves the level no further.
constexpr double most_surprise = 0.12;
/// Load a second: above the steepest swing of services, 0.15, so that a slope
/// that one bad reading drives up is not carried on.
constexpr double most_slope = 0.25;
/// How far ahead the slope is believed.
constexpr double most_ahead_s = 0.9;
/// After such a pause a reading starts anew.
constexpr double stale_s = 3.0;
/// The load of a service that nothing is known of: the average of services is
/// 0.48.
constexpr double usual_load = 0.5;
constexpr double least_load = 0.05;
constexpr double ms_per_s = 1'000;

double seconds(milliseconds n) {
  return static_cast<double>(n.count()) / ms_per_s;
}

}  // namespace detail

void load_forecast::observe(time_point at, double load) {
  const double dt = std::max(0.0, detail::seconds(at - last_));
  if (!known_ || dt > detail::stale_s) {
    known_ = true;
    last_ = at;
    level_ = load;
    slope_ = 0;
    return;
  }
  // Several tasks report at once: each counts for a little time at least.
  const double step = std::max(dt, 0.01);
  const double keep = std::exp(-step / detail::forecast_tau_s);
  level_ += slope_ * dt;
  const double error =
      std::clamp(load - level_, -detail::most_surprise, detail::most_surprise);
  level_ += (1 - keep * keep) * error;
  slope_ += (1 - keep) * (1 - keep) * error / step;
  slope_ = std::clamp(slope_, -detail::most_slope, detail::most_slope);
  last_ = std::max(last_, at);
}

double load_forecast::at(time_point at) const {
  if (!known_) return detail::usual_load;
  const double ahead =
      std::clamp(detail::seconds(at - last_), 0.0, detail::most_ahead_s);
  return std::clamp(level_ + slope_ * ahead, detail::least_load, 1.0);
}

}  // namespace kestrelreel

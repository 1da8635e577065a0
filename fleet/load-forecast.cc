#include "fleet/load-forecast.h"

#include <algorithm>
#include <cmath>

namespace kestrelreel {
namespace detail {

/// Filter time constant: short against the load swings of 10 s and more, and as
/// long as the interval of a worker's heartbeats, a quarter second.
constexpr double forecast_tau_s = 0.25;
/// Bounds the effect of an outlier, such as the reading of a faulty worker.
constexpr double max_error = 0.12;
/// Load per second: above the steepest slope of services, 0.15, so that one bad
/// reading is not extrapolated.
constexpr double max_slope = 0.25;
/// Longest extrapolation.
constexpr double max_ahead_s = 0.9;
/// After a gap of this length a reading restarts the filter.
constexpr double stale_s = 3.0;
/// Load of a service without readings: close to the average of services, 0.48.
constexpr double default_load = 0.5;
constexpr double min_load = 0.05;
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
  // Several tasks may report at once; 10 ms avoids a division by 0.
  const double step = std::max(dt, 0.01);
  const double decay = std::exp(-step / detail::forecast_tau_s);
  level_ += slope_ * dt;
  const double error =
      std::clamp(load - level_, -detail::max_error, detail::max_error);
  level_ += (1 - decay * decay) * error;
  slope_ += (1 - decay) * (1 - decay) * error / step;
  slope_ = std::clamp(slope_, -detail::max_slope, detail::max_slope);
  last_ = std::max(last_, at);
}

double load_forecast::at(time_point at) const {
  if (!known_) return detail::default_load;
  const double ahead =
      std::clamp(detail::seconds(at - last_), 0.0, detail::max_ahead_s);
  return std::clamp(level_ + slope_ * ahead, detail::min_load, 1.0);
}

}  // namespace kestrelreel

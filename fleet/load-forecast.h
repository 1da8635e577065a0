// Forecasts the load of a step's serving tasks.
#pragma once

#include "base/clock.h"

namespace kestrelreel {

/// The tasks of a serving step share its requests, so their loads rise and fall
/// together within seconds. Readings are half a second old and orders take as
/// long again, so a critically damped second-order filter (Brookner, 1998)
/// tracks level and slope and extrapolates them.
class load_forecast {
 public:
  /// Adds a task's load at `at`, without the part that backfill tasks add. A
  /// reading older than the last one is treated as taken at the last one's
  /// time.
  void observe(time_point at, double load);
  /// Expected load at `at`. The slope counts for at most 0.9 s after the last
  /// reading; without any reading the average load of services is returned.
  double at(time_point at) const;
  /// Change of the load per second.
  double slope() const { return slope_; }
  /// True after the first reading.
  bool known() const { return known_; }

 private:
  bool known_ = false;
  time_point last_{};
  double level_ = 0;
  double slope_ = 0;
};

}  // namespace kestrelreel

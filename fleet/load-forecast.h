// Where the load of one step's serving tasks goes next.
#pragma once

#include "base/clock.h"

namespace kestrelreel {

/// The tasks of a serving step share its users, so their loads rise and fall
/// together, within seconds. Readings are half a second old and orders take as
/// long again: a load is followed with its slope, by a critically damped
/// second-order filter (Brookner, 1998), and told ahead of time.
class load_forecast {
 public:
  /// A task's load without what fill tasks add, as it was at `at`; readings
  /// from before the last one count as of the last one.
  void observe(time_point at, double load);
  /// The load to expect at `at`; 0.9 s beyond the last reading the slope stops
  /// counting, and a load never read is middling.
  double at(time_point at) const;
  /// Change a second.
  double slope() const { return slope_; }
  /// True once a reading came.
  bool known() const { return known_; }

 private:
  bool known_ = false;
  time_point last_{};
  double level_ = 0;
  double slope_ = 0;
};

}  // namespace kestrelreel

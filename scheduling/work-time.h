// Time that processors take for work.
#pragma once

#include <algorithm>
#include <cstdint>

#include "base/clock.h"

namespace kestrelreel {

/// Time in which `cores` processors do the work. Bounded by some ten days, also
/// without processors; work below 0 counts as none.
inline milliseconds time_for(double core_seconds, double cores) {
  constexpr double ms_per_s = 1'000;
  constexpr double max_ms = 1e9;
  if (core_seconds <= 0) return milliseconds(0);
  const double ms = cores > 0 ? core_seconds / cores * ms_per_s : max_ms;
  return milliseconds(static_cast<int64_t>(std::min(ms, max_ms)));
}

}  // namespace kestrelreel

// Compares the leader's processor time for many workers with that for few.
#pragma once

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <span>
#include <string>

#include "fleet/fleet-cost-test-parts.h"

namespace kestrelreel::busy {

constexpr int small_fleet = 600;
constexpr int large_fleet = 6'000;
constexpr int times_as_large = large_fleet / small_fleet;

/// Returns the minimum of several measurements, as disturbances only lengthen
/// them.
inline leader_costs min_costs(int workers) {
  constexpr int tries = 3;
  leader_costs out = measure_costs(workers);
  for (int i = 1; i < tries; ++i) {
    const leader_costs it = measure_costs(workers);
    out.start_us = std::min(out.start_us, it.start_us);
    out.quiet_us = std::min(out.quiet_us, it.quiet_us);
    out.change_us = std::min(out.change_us, it.change_us);
  }
  return out;
}

/// A cost and its largest allowed ratio of the large to the small fleet.
struct cost_row {
  const char* name;
  double leader_costs::*cost;
  double max_ratio;
};

inline void check_costs(std::span<const cost_row> rows) {
  const leader_costs few = min_costs(small_fleet);
  const leader_costs many = min_costs(large_fleet);
  for (const cost_row& it : rows) {
    const double ratio = many.*it.cost / few.*it.cost;
    const std::string text = std::string(it.name) + ": " +
                             std::to_string(ratio) + " times, at most " +
                             std::to_string(it.max_ratio);
    CHECK_TRUE_TEXT(ratio <= it.max_ratio, text.c_str());
  }
}

}  // namespace kestrelreel::busy

// Runs the seeded simulation under each mix of faults.
#pragma once

#include <CppUTest/TestHarness.h>

#include <span>
#include <string>

#include "fleet/slow-test-world.h"

namespace kestrelreel::slow {

/// Runs 25 seeds of 40 s for each row: no invariant may be violated, and some
/// runs must succeed.
inline void check_rows(std::span<const faults> rows) {
  constexpr uint64_t seeds = 25;
  constexpr milliseconds length{40'000};
  for (const faults& it : rows) {
    int done = 0;
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
      slow_world world(seed, it);
      const std::string violation = world.run(length);
      STRCMP_EQUAL_TEXT(
          "", violation.c_str(),
          (std::string(it.name) + ", seed " + std::to_string(seed)).c_str());
      done += world.done();
    }
    CHECK_TRUE_TEXT(done > 0, it.name);
  }
}

}  // namespace kestrelreel::slow

// Runs the simulation of an overloaded leader and checks its outcome.
#pragma once

#include <CppUTest/TestHarness.h>

#include <span>
#include <string>

#include "fleet/busy-leader-test-world.h"

namespace kestrelreel::busy {

constexpr int long_running_jobs = 20;
constexpr uint32_t tasks_per_long_running_job = 10;
/// Workers that are lost during the simulation.
constexpr int lost_workers = 40;

/// Starts long-running jobs, loses workers, and returns the measurements.
inline outcome run_scenario(const scenario& it) {
  busy_world world(it);
  world.pass(milliseconds(3'000));
  world.submit_long_running(long_running_jobs, tasks_per_long_running_job);
  world.pass(milliseconds(10'000));
  world.lose_workers(lost_workers);
  world.pass(milliseconds(20'000));
  return world.out();
}

/// Fails with the row's name and the measurement's name if `found` exceeds
/// `most`.
inline void check_within(milliseconds most, milliseconds found,
                         const char* name, const char* what) {
  const std::string text =
      std::string(name) + ", " + what + ": " + std::to_string(found.count());
  CHECK_TRUE_TEXT(found <= most, text.c_str());
}

/// Runs each scenario: no lease may expire, and downtimes and order lags stay
/// within their limits.
inline void check_rows(std::span<const scenario> rows) {
  for (const scenario& it : rows) {
    const outcome out = run_scenario(it);
    STRCMP_EQUAL_TEXT("", out.violation.c_str(), it.name);
    CHECK_TRUE_TEXT(out.done > 0, it.name);
    LONGS_EQUAL_TEXT(0, out.lapsed, it.name);
    check_within(max_downtime, out.longest_downtime, it.name, "away");
    check_within(max_order_lag, out.longest_order_lag, it.name, "order lag");
  }
}

}  // namespace kestrelreel::busy

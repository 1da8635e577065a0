// The leader's processor time grows with what happens, not with the workers
// that there are.
//
// On 6,000 workers a leader of 0.48 cores was down before the first request:
// each new worker was compared with all others, and each turn and tick looked
// through all of them. Heartbeats waited unread, their workers turned
// elsewhere, and answers came too late.
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>

#include "fleet/fleet-cost-test-parts.h"

using namespace kestrelreel;
using busy::leader_costs;

namespace {

constexpr int small = 600;
constexpr int large = 6'000;
constexpr int times_as_large = large / small;
constexpr int tries = 3;

/// The least of some tries: what disturbs a measurement makes it longer.
leader_costs least_costs(int workers) {
  leader_costs out = busy::measure_costs(workers);
  for (int i = 1; i < tries; ++i) {
    const leader_costs it = busy::measure_costs(workers);
    out.start_us = std::min(out.start_us, it.start_us);
    out.quiet_us = std::min(out.quiet_us, it.quiet_us);
    out.change_us = std::min(out.change_us, it.change_us);
  }
  return out;
}

struct row {
  const char* name;
  double leader_costs::*cost;
  double most_times;
};

}  // namespace

TEST_GROUP(fleet_cost){};

TEST(fleet_cost, grows_with_what_happens_not_with_the_workers) {
  const leader_costs few = least_costs(small);
  const leader_costs many = least_costs(large);
  // At a start and a change of leader each worker calls, so that ten times the
  // workers are ten times the calls, each twice as dear at most.
  const row rows[] = {
      {"start", &leader_costs::start_us, 2.0 * times_as_large},
      {"quiet second", &leader_costs::quiet_us, 2.0},
      {"change of leader", &leader_costs::change_us, 2.0 * times_as_large},
  };
  for (const row& it : rows) {
    const double times = many.*it.cost / few.*it.cost;
    const std::string text = std::string(it.name) + ": " +
                             std::to_string(times) + " times, at most " +
                             std::to_string(it.most_times);
    CHECK_TRUE_TEXT(times <= it.most_times, text.c_str());
  }
}

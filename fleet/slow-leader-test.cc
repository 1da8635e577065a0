// With slow leaders, workers or links, no task runs twice, none starts after
// its success was acknowledged, and no worker gets more than its capacity.
#include <CppUTest/TestHarness.h>

#include "fleet/slow-test-rows.h"

using namespace kestrelreel;
using slow::faults;

TEST_GROUP(slow_leader){};

TEST(slow_leader, no_task_runs_twice_under_delays) {
  const faults rows[] = {
      {"no faults", 0, 0, 0, 0},
      {"stalled leaders", 150, 0, 0, 0},
      {"frequent elections", 0, 150, 0, 0},
      {"slow reading", 0, 0, 0, 2},
      {"workers that crash", 0, 0, 100, 0},
      {"workers cut off", 0, 0, 0, 0, 60},
      {"all faults", 300, 300, 200, 3, 150},
  };
  slow::check_rows(rows);
}

// Whatever is slow, no task runs twice, none starts after its good end was
// taken note of, and no worker gets more than it holds.
#include <CppUTest/TestHarness.h>

#include "fleet/slow-test-rows.h"

using namespace kestrelreel;
using slow::faults;

TEST_GROUP(slow_leader){};

TEST(slow_leader, no_task_runs_twice_whatever_is_slow) {
  const faults rows[] = {
      {"calm", 0, 0, 0, 0},
      {"held up", 150, 0, 0, 0},
      {"elections in series", 0, 150, 0, 0},
      {"reading behind", 0, 0, 0, 2},
      {"machines that begin anew", 0, 0, 100, 0},
      {"workers cut off", 0, 0, 0, 0, 60},
      {"all of it", 300, 300, 200, 3, 150},
  };
  slow::check_rows(rows);
}

// Workers leave as planned while leaders, workers or links are slow: no task
// runs twice, and none starts after its success was acknowledged or listed in
// time.
//
// Guards against a leave that overtakes the worker's last heartbeat (see
// worker-leave-test): a task succeeded, was started again, and only then the
// success was acknowledged. Simulations in which workers only crash don't show
// it. With quick links a success counts even if it falls between the last
// heartbeat and the leave (see worker-drain-test).
#include <CppUTest/TestHarness.h>

#include "fleet/slow-test-rows.h"

using namespace kestrelreel;
using slow::faults;

TEST_GROUP(slow_leave){};

TEST(slow_leave, no_task_runs_twice_when_workers_leave) {
  const faults rows[] = {
      {"workers leave", 0, 0, 0, 0, 0, 25},
      {"workers leave, quick links", 0, 0, 0, 0, 0, 25, true},
      {"and leaders change", 0, 150, 0, 0, 0, 25},
      {"and leaders stall", 150, 0, 0, 0, 0, 25},
      {"and reading is slow", 0, 0, 0, 2, 0, 25},
      {"and workers are cut off", 0, 0, 0, 0, 60, 25},
      {"all faults", 300, 300, 200, 3, 150, 50},
  };
  slow::check_rows(rows);
}

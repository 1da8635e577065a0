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

namespace {

/// Workers serve on for this long once their drain is acknowledged.
constexpr milliseconds users_notice{2'000};

}  // namespace

TEST_GROUP(slow_leave){};

TEST(slow_leave, no_task_runs_twice_when_workers_leave) {
  const faults rows[] = {
      {"workers leave", 0, 0, 0, 0, 0, 25},
      {"workers leave, quick links", 0, 0, 0, 0, 0, 25, true},
      {"and leaders change", 0, 150, 0, 0, 0, 25},
      {"and leaders stall", 150, 0, 0, 0, 0, 25},
      {"and reading is slow", 0, 0, 0, 2, 0, 25},
      {"and workers are cut off", 0, 0, 0, 0, 60, 25},
      {.name = "without an acknowledgement",
       .leave = 25,
       .unanswered_leave = 2,
       .long_running = true,
       .least_notice = users_notice},
      {.name = "without an acknowledgement, quick links",
       .leave = 25,
       .quiet_links = true,
       .unanswered_leave = 2,
       .long_running = true,
       .least_notice = users_notice},
      {.name = "without an acknowledgement, leaders change",
       .election = 150,
       .leave = 25,
       .unanswered_leave = 2,
       .long_running = true,
       .least_notice = users_notice},
      {.name = "without an acknowledgement, workers are cut off",
       .cut = 60,
       .leave = 25,
       .unanswered_leave = 2,
       .long_running = true,
       .least_notice = users_notice},
      {"all faults", 300, 300, 200, 3, 150, 50},
  };
  slow::check_rows(rows);
}

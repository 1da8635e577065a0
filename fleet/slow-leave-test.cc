// Workers leave in order among all that may be slow: no task runs twice, none
// starts after its good end was taken note of or listed in time.
//
// Symptom: "ended well, was started again, then noted": the leave of a worker
// overtook its last heartbeat (see worker-leave-test). Before, the seeded world
// knew only workers that crash, so that no run of it met that. With quick links
// a good end counts even where it came between the last heartbeat and the leave
// (see worker-drain-test).
#include <CppUTest/TestHarness.h>

#include "fleet/slow-test-rows.h"

using namespace kestrelreel;
using slow::faults;

TEST_GROUP(slow_leave){};

TEST(slow_leave, no_task_runs_twice_when_workers_leave) {
  const faults rows[] = {
      {"workers leave", 0, 0, 0, 0, 0, 25},
      {"workers leave, links are quick", 0, 0, 0, 0, 0, 25, true},
      {"and leaders change", 0, 150, 0, 0, 0, 25},
      {"and leaders are held up", 150, 0, 0, 0, 0, 25},
      {"and reading is behind", 0, 0, 0, 2, 0, 25},
      {"and workers are cut off", 0, 0, 0, 0, 60, 25},
      {"all of it", 300, 300, 200, 3, 150, 50},
  };
  slow::check_rows(rows);
}

// Machines start again under the id that they had, among all that may be slow:
// no task runs twice, none starts after its good end was taken note of.
//
// Before, each life in this world had an id of its own, so that no run of it
// could show what happens when two share one (see restarted-worker-test).
#include <CppUTest/TestHarness.h>

#include "fleet/slow-test-rows.h"

using namespace kestrelreel;
using slow::faults;

TEST_GROUP(slow_restart){};

TEST(slow_restart, no_task_runs_twice_when_workers_keep_their_id) {
  const faults rows[] = {
      {"machines start again", 0, 0, 0, 0, 0, 0, false, 60},
      {"and leaders change", 0, 100, 0, 0, 0, 0, false, 60},
      {"and leaders are held up", 150, 0, 0, 0, 0, 0, false, 60},
      {"and reading is behind", 0, 0, 0, 2, 0, 0, false, 60},
      {"and workers are cut off", 0, 0, 0, 0, 60, 0, false, 60},
      {"and workers leave", 0, 0, 0, 0, 0, 50, false, 60},
      {"and clocks are set back", 0, 0, 0, 0, 0, 0, false, 60, 2},
      {"all of it", 300, 300, 200, 3, 150, 100, false, 100, 4},
      {"through other boxes", 0, 0, 0, 0, 0, 0, false, 60, 0, true},
      {"through other boxes, leaders change", 0, 100, 0, 0, 0, 0, false, 60, 0,
       true},
      {"through other boxes, workers are cut off", 0, 0, 0, 0, 60, 0, false, 60,
       0, true},
      {"through other boxes, all of it", 300, 300, 200, 3, 150, 100, false, 100,
       4, true},
  };
  slow::check_rows(rows);
}

// Workers restart under the same id while leaders, workers or links are slow:
// no task runs twice, and none starts after its success was acknowledged.
//
// Covers incarnations that share an id; in the other simulations each one has
// its own id (see restarted-worker-test).
#include <CppUTest/TestHarness.h>

#include "fleet/slow-test-rows.h"

using namespace kestrelreel;
using slow::faults;

TEST_GROUP(slow_restart){};

TEST(slow_restart, no_task_runs_twice_when_workers_keep_their_id) {
  const faults rows[] = {
      {"workers restart", 0, 0, 0, 0, 0, 0, false, 60},
      {"and leaders change", 0, 100, 0, 0, 0, 0, false, 60},
      {"and leaders stall", 150, 0, 0, 0, 0, 0, false, 60},
      {"and reading is slow", 0, 0, 0, 2, 0, 0, false, 60},
      {"and workers are cut off", 0, 0, 0, 0, 60, 0, false, 60},
      {"and workers leave", 0, 0, 0, 0, 0, 50, false, 60},
      {"and clocks are set back", 0, 0, 0, 0, 0, 0, false, 60, 2},
      {"all faults", 300, 300, 200, 3, 150, 100, false, 100, 4},
      {"through other boxes", 0, 0, 0, 0, 0, 0, false, 60, 0, true},
      {"through other boxes, leaders change", 0, 100, 0, 0, 0, 0, false, 60, 0,
       true},
      {"through other boxes, workers are cut off", 0, 0, 0, 0, 60, 0, false, 60,
       0, true},
      {"through other boxes, all faults", 300, 300, 200, 3, 150, 100, false,
       100, 4, true},
      {.name = "through other boxes, all faults, slow commits and clocks",
       .stall = 300,
       .election = 300,
       .crash = 200,
       .slow_read = 3,
       .cut = 150,
       .leave = 100,
       .restart = 100,
       .clock_set_back = 4,
       .intakes = true,
       .commit_time = milliseconds(300),
       .lost_answer = 20,
       .crashed_listen = true,
       .slow_clocks = true},
  };
  slow::check_rows(rows);
}

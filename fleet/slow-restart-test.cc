// Machines start again under the id that they had, among all that may be slow:
// no task runs twice, none starts after its good end was taken note of.
//
// Before, each life in this world had an id of its own, so that no run of it
// could show what happens when two share one (see restarted-worker-test).
#include <CppUTest/TestHarness.h>

#include <string>

#include "fleet/slow-test-world.h"

using namespace kestrelreel;
using slow::faults;
using slow::slow_world;

TEST_GROUP(slow_restart){};

TEST(slow_restart, no_task_runs_twice_when_workers_keep_their_id) {
  constexpr uint64_t seeds = 25;
  constexpr milliseconds length{40'000};
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
  for (const faults& it : rows) {
    int done = 0;
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
      slow_world world(seed, it);
      const std::string wrong = world.run(length);
      STRCMP_EQUAL_TEXT(
          "", wrong.c_str(),
          (std::string(it.name) + ", seed " + std::to_string(seed)).c_str());
      done += world.done();
    }
    CHECK_TRUE_TEXT(done > 0, it.name);
  }
}

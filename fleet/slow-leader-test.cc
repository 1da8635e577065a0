// Whatever is slow, no task runs twice, none starts after its good end was
// taken note of, and no worker gets more than it holds.
#include <CppUTest/TestHarness.h>

#include <string>

#include "fleet/slow-test-world.h"

using namespace kestrelreel;
using slow::faults;
using slow::slow_world;

TEST_GROUP(slow_leader){};

TEST(slow_leader, no_task_runs_twice_whatever_is_slow) {
  constexpr uint64_t seeds = 25;
  constexpr milliseconds length{40'000};
  const faults rows[] = {
      {"calm", 0, 0, 0, 0},
      {"held up", 150, 0, 0, 0},
      {"elections in series", 0, 150, 0, 0},
      {"reading behind", 0, 0, 0, 2},
      {"machines that begin anew", 0, 0, 100, 0},
      {"workers cut off", 0, 0, 0, 0, 60},
      {"all of it", 300, 300, 200, 3, 150},
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

// No long-running task runs at two workers at once, whatever the leader makes
// of workers that answers don't reach.
#include <CppUTest/TestHarness.h>

#include <cstdio>

#include "fleet/unread-answers-test-world.h"

using namespace kestrelreel;
using unread::scenario;

TEST_GROUP(unread_answers){};

TEST(unread_answers, task_runs_at_two_workers) {
  constexpr uint64_t seeds = 20;
  constexpr milliseconds length{60'000};
  const scenario rows[] = {
      {.name = "answers are lost"},
      {.name = "late heartbeats", .slow_heartbeats = 150},
      {.name = "crashes", .slow_heartbeats = 150, .crash = 150},
      {.name = "leader changes", .leader_change = 150},
      {.name = "leader changes, late heartbeats",
       .slow_heartbeats = 100,
       .leader_change = 120,
       .crash = 300},
      {.name = "slow clocks",
       .slow_heartbeats = 150,
       .leader_change = 200,
       .crash = 300,
       .slow_percent = 2},
      {.name = "short lists",
       .slow_heartbeats = 150,
       .leader_change = 300,
       .max_ended = 2},
      {.name = "refused runs begin",
       .slow_heartbeats = 150,
       .max_ended = 1,
       .begins_refused = true},
  };
  for (const scenario& it : rows) {
    int begun = 0;
    int given_up = 0;
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
      unread::simulation sim(it, seed);
      sim.pass(length);
      const std::string where = str_cat(it.name, ", seed ", seed);
      STRCMP_EQUAL_TEXT("", sim.violation().c_str(), where.c_str());
      begun += sim.begun();
      given_up += sim.given_up();
    }
    std::printf("unread-answers row=\"%s\" begun=%d given-up=%d\n", it.name,
                begun, given_up);
    CHECK_TRUE_TEXT(begun > 0, it.name);
    CHECK_TRUE_TEXT(given_up > 0, it.name);
  }
}

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

// Several starts and losses of one worker are in flight at once.
TEST(slow_leader, no_task_runs_twice_while_commits_are_slow) {
  constexpr milliseconds slow{300};
  const faults rows[] = {
      {.name = "slow commits", .commit_time = slow},
      {.name = "and answers are lost", .commit_time = slow, .lost_answer = 10},
      {.name = "and workers are cut off", .cut = 60, .commit_time = slow},
      {.name = "and workers leave", .leave = 50, .commit_time = slow},
      {.name = "through other boxes, which stall",
       .stall = 150,
       .intakes = true,
       .commit_time = slow},
  };
  slow::check_rows(rows);
}

TEST(slow_leader, heartbeats_of_crashed_workers_come_after_their_successors) {
  const faults rows[] = {
      {.name = "workers crash and are cut off",
       .crash = 40,
       .cut = 30,
       .crashed_listen = true},
      {.name = "and leaders change, through other boxes",
       .election = 150,
       .crash = 40,
       .cut = 30,
       .intakes = true,
       .crashed_listen = true},
      {.name = "and clocks are slow",
       .election = 300,
       .crash = 60,
       .cut = 40,
       .crashed_listen = true,
       .slow_clocks = true},
  };
  slow::check_rows(rows);
}

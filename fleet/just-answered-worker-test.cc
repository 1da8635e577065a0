// Answers that take long to reach the workers, while the leader is not late:
// calls that the boxes can't forward are put off.
#include <CppUTest/TestHarness.h>

#include <string>

#include "fleet/busy-leader-test-rows.h"

using namespace kestrelreel;
using busy::scenario;

namespace {

/// Longest time from a task's first placement until its worker has the order.
constexpr milliseconds max_placed_wait{3'000};
constexpr int boxes = 4;
constexpr int interrupted_workers = 3;
constexpr int rounds = 10;

struct row {
  const char* name;
  int workers;
  milliseconds answer_delay;
};

/// Runs of long-running tasks fail while most of each worker is free.
busy::outcome run_row(const row& it) {
  scenario world_setting{it.name, it.workers, {}};
  world_setting.jobs_per_s = 40;
  world_setting.returns_to_first_box = true;
  busy::busy_world world(world_setting);
  world.pass(milliseconds(3'000));
  world.submit_long_running(busy::long_running_jobs,
                            busy::tasks_per_long_running_job);
  world.pass(milliseconds(6'000));
  world.delay_boxes(boxes, it.answer_delay, milliseconds(0));
  world.pass(milliseconds(3'000));
  for (int i = 0; i < rounds; ++i) {
    world.interrupt_long_running(interrupted_workers, busy::interruption::fail);
    world.pass(milliseconds(500));
  }
  world.pass(milliseconds(10'000));
  return world.out();
}

}  // namespace

TEST_GROUP(just_answered_worker){};

// The call of a worker that was answered last counted as due soonest, from the
// time at which the answer was sent. An interrupted task was placed there, and
// its start withdrawn before the call, up to 21 times.
TEST(just_answered_worker, interrupted_task_waits_for_calls_that_are_not_due) {
  const row rows[] = {
      {"on time", 880, milliseconds(0)},
      {"hardly in time", 880, milliseconds(430)},
      {"nearly half a second", 880, milliseconds(450)},
      {"half a second", 400, milliseconds(500)},
      {"nearly too late", 880, milliseconds(700)},
  };
  std::string failures;
  for (const row& it : rows) {
    const busy::outcome out = run_row(it);
    STRCMP_EQUAL_TEXT("", out.violation.c_str(), it.name);
    CHECK_TRUE_TEXT(out.done > 0, it.name);
    LONGS_EQUAL_TEXT(0, out.lapsed, it.name);
    const bool within_limits = out.longest_placed_wait <= max_placed_wait &&
                               out.longest_downtime <= busy::max_downtime;
    if (within_limits) continue;
    failures += std::string(it.name) + ": down for " +
                std::to_string(out.longest_downtime.count()) +
                " ms, placed without a run for " +
                std::to_string(out.longest_placed_wait.count()) +
                " ms, placements " + std::to_string(out.max_placements) + "\n";
  }
  CHECK_TRUE_TEXT(failures.empty(), failures.c_str());
}

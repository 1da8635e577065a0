// A leader that is behind, with a log that takes longer than an answer waits
// for it: the starts of interrupted long-running tasks have to reach their
// workers although there is capacity for them everywhere.
#include <CppUTest/TestHarness.h>

#include <string>

#include "fleet/busy-leader-test-rows.h"

using namespace kestrelreel;
using busy::scenario;

namespace {

/// Longest time from a task's first placement until its worker has the order.
constexpr milliseconds max_placed_wait{3'000};
/// One placement where the task runs, and one more if its worker was lost too.
constexpr int max_placements = 2;
constexpr int interrupted_workers = 6;
constexpr int rounds = 10;

struct row {
  const char* name;
  busy::step_costs cost;
};

/// Runs of long-running tasks fail while short jobs use part of the pool.
busy::outcome run_row(const row& it) {
  scenario world_setting{it.name, 1'100, it.cost};
  world_setting.jobs_per_s = 40;
  world_setting.commit_time = milliseconds(300);
  busy::busy_world world(world_setting);
  world.pass(milliseconds(3'000));
  world.submit_long_running(busy::long_running_jobs,
                            busy::tasks_per_long_running_job);
  world.pass(milliseconds(9'000));
  for (int i = 0; i < rounds; ++i) {
    world.interrupt_long_running(interrupted_workers, busy::interruption::fail);
    world.pass(milliseconds(500));
  }
  world.pass(milliseconds(10'000));
  return world.out();
}

std::string to_text(const row& it, const busy::outcome& out) {
  return std::string(it.name) + ": down for " +
         std::to_string(out.longest_downtime.count()) +
         " ms, placed without a run for " +
         std::to_string(out.longest_placed_wait.count()) + " ms, placements " +
         std::to_string(out.max_placements) + ", wasted " +
         std::to_string(out.wasted_placements) + "\n";
}

}  // namespace

TEST_GROUP(withdrawn_between_calls){};

// A start waits for its worker's next call, however late the log records it.
TEST(withdrawn_between_calls, start_is_withdrawn_before_the_next_call) {
  const row rows[] = {
      {"answers take 1 ms", {.answer = 1'000}},
      {"answers take 1.2 ms", {.answer = 1'200}},
  };
  std::string failures;
  for (const row& it : rows) {
    const busy::outcome out = run_row(it);
    STRCMP_EQUAL_TEXT("", out.violation.c_str(), it.name);
    CHECK_TRUE_TEXT(out.done > 0, it.name);
    LONGS_EQUAL_TEXT(0, out.lapsed, it.name);
    const bool within_limits = out.longest_placed_wait <= max_placed_wait &&
                               out.longest_downtime <= busy::max_downtime &&
                               out.max_placements <= max_placements;
    if (!within_limits) failures += to_text(it, out);
  }
  CHECK_TRUE_TEXT(failures.empty(), failures.c_str());
}

// A log that takes longer to commit than an answer waits for it, while nothing
// else is slow: no worker is lost, and the leader has processor time.
#include <CppUTest/TestHarness.h>

#include <string>

#include "fleet/busy-leader-test-rows.h"

using namespace kestrelreel;
using busy::scenario;

namespace {

/// Longest time from a task's first placement until its worker has the order.
constexpr milliseconds max_placed_wait{3'000};
constexpr int interrupted_workers = 3;
constexpr int rounds = 10;

struct row {
  const char* name;
  int workers;
  double jobs_per_s;
  // A commit takes two disk syncs.
  milliseconds commit_time;
};

/// Runs of long-running tasks fail while short jobs use a quarter of the pool.
busy::outcome run_row(const row& it) {
  scenario world_setting{it.name, it.workers, {}};
  world_setting.jobs_per_s = it.jobs_per_s;
  world_setting.commit_time = it.commit_time;
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

}  // namespace

TEST_GROUP(slow_log_starts){};

// An answer left without the start that it had waited for, and the start was
// withdrawn before the worker's next answer. Answers that the worker got while
// the withdrawal was in the log carried no starts either.
TEST(slow_log_starts, start_is_withdrawn_before_the_next_answer) {
  const row rows[] = {
      {"syncs of 300 ms, few jobs", 880, 40, milliseconds(600)},
      {"syncs of 300 ms", 880, 150, milliseconds(600)},
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
                " ms, placements " + std::to_string(out.max_placements) +
                ", tasks done " + std::to_string(out.done) + "\n";
  }
  CHECK_TRUE_TEXT(failures.empty(), failures.c_str());
}

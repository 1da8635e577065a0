// Guards against starts that are withdrawn before the worker's next heartbeat
// again and again.
#include <CppUTest/TestHarness.h>

#include <string>

#include "fleet/fleet-cost-test-parts.h"

using namespace kestrelreel;

namespace {

struct row {
  const char* name;
  int workers;
  // Whether the leader's work costs `cost`; otherwise it takes no time.
  bool step_costs = false;
  busy::step_costs cost = {};
};

constexpr int long_running_jobs = 20;
constexpr uint32_t tasks_per_long_running_job = 10;
/// Workers interrupted at a time.
constexpr int interrupted_workers = 3;
constexpr int rounds = 10;
/// Longest time from a task's first placement until its worker has the order.
constexpr milliseconds max_placed_wait{3'000};
/// One placement where the task runs, and one more if its worker was lost too.
constexpr int max_placements = 2;

busy::outcome run_scenario(const row& it) {
  busy::scenario fleet_scenario = busy::make_fleet(it.workers);
  fleet_scenario.jobs_per_s = 0;
  if (it.step_costs) {
    fleet_scenario.processor_share = 0;
    fleet_scenario.cost = it.cost;
  }
  busy::busy_world world(fleet_scenario);
  world.pass(milliseconds(6'000));
  // Keeps every worker busy, as the leader delays the answers of idle ones.
  world.submit_endless_tasks();
  world.pass(milliseconds(4'000));
  world.submit_long_running(long_running_jobs, tasks_per_long_running_job);
  world.pass(milliseconds(4'000));
  for (int i = 0; i < rounds; ++i) {
    world.interrupt_long_running(interrupted_workers, busy::interruption::lose);
    world.interrupt_long_running(interrupted_workers, busy::interruption::fail);
    world.pass(milliseconds(300));
    world.interrupt_long_running(interrupted_workers,
                                 busy::interruption::leave);
    world.pass(milliseconds(300));
  }
  world.pass(milliseconds(9'500));
  return world.out();
}

std::string to_text(const row& it, const busy::outcome& out) {
  return std::string(it.name) + ", " + std::to_string(it.workers) +
         ": down for " + std::to_string(out.longest_downtime.count()) +
         " ms, placed without a run for " +
         std::to_string(out.longest_placed_wait.count()) + " ms, placements " +
         std::to_string(out.max_placements) + ", wasted " +
         std::to_string(out.wasted_placements) + ", lapsed " +
         std::to_string(out.lapsed);
}

}  // namespace

TEST_GROUP(placed_in_vain){};

TEST(placed_in_vain, interrupted_task_starts_with_its_first_order) {
  const row rows[] = {
      {"quiet", 600},
      {"quiet", 6'000},
      {"quiet", 12'000},
      {"overloaded", 600, true, {.answer = 1'600}},
      {"overloaded", 6'000, true, {.answer = 250}},
      {"overloaded", 12'000, true, {.read = 15, .answer = 150}},
  };
  std::string failures;
  for (const row& it : rows) {
    const busy::outcome out = run_scenario(it);
    const std::string text = to_text(it, out);
    STRCMP_EQUAL_TEXT("", out.violation.c_str(), it.name);
    LONGS_EQUAL_TEXT(0, out.lapsed, text.c_str());
    const bool within_limits = out.longest_placed_wait <= max_placed_wait &&
                               out.longest_downtime <= busy::max_downtime &&
                               out.max_placements <= max_placements;
    if (!within_limits) failures += text + "\n";
  }
  CHECK_TRUE_TEXT(failures.empty(), failures.c_str());
}

// The leader's processor time while many long-running tasks of one job are out.
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <ctime>
#include <string>

#include "fleet/fleet-test-world.h"

using namespace kestrelreel;

namespace {

constexpr uint64_t long_running_job = 1;
constexpr uint32_t all_tasks = 10'000;
constexpr uint32_t many_steps = 100;
constexpr uint32_t max_ends = 500;
constexpr int worker_count = 20;
constexpr int turns = 30;
/// Of the time that the same tasks take in one step.
constexpr double max_ratio = 5;

}  // namespace

TEST_GROUP(outage_cost){static void submit(test_world & world, uint32_t steps){
    fleet::fleet_command submit;
submit.mutable_submit()->set_job(long_running_job);
submit.mutable_submit()->set_queue("plans");
for (uint32_t i = 0; i < steps; ++i) {
  fleet::step_spec& step = *submit.mutable_submit()->add_steps();
  step = test_world::make_step(all_tasks / steps);
  step.set_long_running(true);
}
world.controller.applied(submit);
}
/// Starts all tasks on one worker, where they fail.
static void interrupt_all(test_world& world, uint32_t steps) {
  const uint32_t count = all_tasks / steps;
  for (uint32_t n = 0; n < all_tasks;) {
    fleet::fleet_command starts;
    fleet::fleet_command report;
    report.mutable_report()->set_worker("gone");
    for (uint32_t i = 0; i < max_ends; ++i, ++n) {
      const fleet::task_ref task =
          to_ref({job_number(long_running_job), 0, n / count, n % count});
      fleet::run_start& start = *starts.mutable_starts()->add_starts();
      *start.mutable_task() = task;
      start.set_run(1);
      start.set_worker("gone");
      fleet::run_end& end = *report.mutable_report()->add_ends();
      end.set_number(n + 1);
      *end.mutable_task() = task;
      end.set_run(1);
      end.set_outcome(fleet::run_failed);
    }
    world.controller.applied(starts);
    world.controller.applied(report);
  }
}
/// The processor time of a leader's turn, none of whose workers has capacity.
static double measure(uint32_t steps) {
  test_world world;
  world.configure(1, 99);
  submit(world, steps);
  interrupt_all(world, steps);
  std::clock_t used = 0;
  for (int turn = 0; turn < turns; ++turn) {
    world.clock.advance(milliseconds(100));
    for (int i = 0; i < worker_count; ++i) {
      fleet::worker_beat& it = world.next_heartbeat(std::to_string(i));
      it.set_cpu_milli(1);
      fleet::fleet_request request;
      *request.mutable_beat() = it;
      world.controller.request(request, [](const auto&) {});
    }
    const std::clock_t begin = std::clock();
    world.controller.tick();
    used += std::clock() - begin;
    world.log.proposed.clear();
  }
  return static_cast<double>(used) * 1'000 / CLOCKS_PER_SEC / turns;
}
}
;

// Each step of the job went through the outages of the whole job, several times
// in each plan.
TEST(outage_cost, each_step_goes_through_all_outages_of_its_job) {
  const double one_step = measure(1);
  const double per_turn = measure(many_steps);
  const std::string text = std::to_string(per_turn) + " ms in place of " +
                           std::to_string(one_step) + " ms";
  CHECK_TRUE_TEXT(per_turn <= max_ratio * one_step, text.c_str());
}

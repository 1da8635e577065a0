// Guards against tasks that count as waiting for as long as another task of
// their job, or as they waited before an earlier run.
#include <CppUTest/TestHarness.h>

#include <string>

#include "fleet/fleet-test-world.h"

using namespace kestrelreel;

namespace {

constexpr uint64_t first_job = 1;
constexpr uint64_t second_job = 2;
constexpr uint64_t backfill_job = 3;
constexpr milliseconds step_time{200};

fleet::step_spec make_long_running() {
  fleet::step_spec step = test_world::make_step(1, 1'000);
  step.set_memory_mb(400);
  step.set_long_running(true);
  return step;
}

/// A task that fits on no worker.
fleet::step_spec make_impossible() {
  fleet::step_spec step = make_long_running();
  step.set_requires_label("none");
  return step;
}

/// Two tasks that fill a worker's memory.
fleet::step_spec make_backfill() {
  fleet::step_spec step = test_world::make_step(2, 500);
  step.set_memory_mb(450);
  step.set_fills(true);
  step.set_saves_progress(true);
  step.set_estimate_ms(60'000);
  return step;
}

class lent_wait_world : public test_world {
 public:
  lent_wait_world() { configure(); }

  /// Adds a worker with room for one task.
  void add(const std::string& name) {
    next_heartbeat(name).set_memory_mb(400);
    workers[name].set_cpu_milli(1'000);
  }

  int run_for(milliseconds n) {
    int stops = 0;
    for (milliseconds at{0}; at < n; at += step_time) {
      pass(step_time);
      for (const auto& [name, it] : workers) {
        if (!it.draining()) stops += beat(name).stops_size();
      }
    }
    return stops;
  }

  void leave(const std::string& name) {
    workers[name].set_draining(true);
    beat(name);
    fleet::fleet_request request;
    request.set_worker_leaves(name);
    ask(request);
  }
};

}  // namespace

TEST_GROUP(lent_wait) { lent_wait_world world; };

// Equal tasks of two jobs: the room belongs to the one that is interrupted for
// longer.
TEST(lent_wait, task_that_waits_longest_goes_first) {
  world.add("a");
  world.beat("a");
  world.submit(first_job, {make_impossible(), make_long_running()});
  LONGS_EQUAL(1, world.beat("a").starts_size());
  world.add("b");
  world.beat("b");
  world.submit(second_job, {make_long_running()});
  LONGS_EQUAL(1, world.beat("b").starts_size());
  world.run_for(milliseconds(2'000));
  world.leave("b");
  world.run_for(milliseconds(6'000));
  world.leave("a");
  world.run_for(milliseconds(400));
  world.add("c");
  const fleet::worker_orders orders = world.beat("c");
  LONGS_EQUAL(1, orders.starts_size());
  LONGS_EQUAL(second_job, orders.starts(0).task().job());
}

// Runs give way to a task that was interrupted 2 s ago, not sooner: by then
// most have found room without a loss.
TEST(lent_wait, nothing_is_stopped_for_a_task_interrupted_just_now) {
  for (const bool another_waits : {false, true}) {
    lent_wait_world each;
    each.add("a");
    each.beat("a");
    std::vector<fleet::step_spec> steps = {make_long_running()};
    if (another_waits) steps.push_back(make_impossible());
    each.submit(first_job, steps);
    LONGS_EQUAL(1, each.beat("a").starts_size());
    each.beat("full");
    each.submit(backfill_job, {make_backfill()});
    each.beat("full");
    LONGS_EQUAL(2, each.workers["full"].running_size());
    each.run_for(milliseconds(5'000));
    each.leave("a");
    LONGS_EQUAL_TEXT(0, each.run_for(milliseconds(1'600)),
                     another_waits ? "another waits" : "alone");
    CHECK_TRUE(each.run_for(milliseconds(1'400)) > 0);
  }
}

// The box led before, lost the leadership while the task waited, and leads
// again as the task's next run is lost.
TEST(lent_wait, wait_before_an_earlier_run_does_not_count) {
  world.add("a");
  world.beat("a");
  world.submit(first_job, {make_long_running()});
  LONGS_EQUAL(1, world.beat("a").starts_size());
  world.beat("full");
  world.submit(backfill_job, {make_backfill()});
  world.beat("full");
  LONGS_EQUAL(2, world.workers["full"].running_size());
  world.run_for(milliseconds(1'000));
  world.leave("a");
  LONGS_EQUAL(0, world.run_for(milliseconds(1'000)));
  world.controller.set_leading(false);
  const task_key task{job_number(first_job), 0, 0, 0};
  fleet::fleet_command started;
  fleet::run_start& start = *started.mutable_starts()->add_starts();
  *start.mutable_task() = to_ref(task);
  start.set_run(2);
  start.set_worker("elsewhere");
  world.controller.applied(started);
  world.clock.advance(milliseconds(60'000));
  fleet::fleet_command lost;
  lost.mutable_loss()->set_worker("elsewhere");
  fleet::run_loss& run = *lost.mutable_loss()->add_runs();
  *run.mutable_task() = to_ref(task);
  run.set_run(2);
  world.controller.applied(lost);
  ++world.log.leader_term;
  world.controller.set_leading(true);
  LONGS_EQUAL(0, world.run_for(milliseconds(1'600)));
  CHECK_TRUE(world.run_for(milliseconds(1'400)) > 0);
}

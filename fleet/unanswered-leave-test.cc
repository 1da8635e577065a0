// Leaves whose acknowledgement is lost.
#include <CppUTest/TestHarness.h>

#include <string>

#include "fleet/fleet-test-world.h"

using namespace kestrelreel;

TEST_GROUP(unanswered_leave) {
  test_world world;

  /// Worker `a` runs the task and drains; its leave is recorded.
  void leave_with_a_run(uint64_t remaining_ms) {
    world.configure(1, 99);
    world.beat("a");
    submit_long_running();
    world.beat("a");
    world.beat("b");
    world.workers["a"].set_draining(true);
    world.workers["a"].set_remaining_ms(remaining_ms);
    world.beat("a");
    fleet::fleet_request leave;
    leave.set_worker_leaves("a");
    world.ask(leave);
  }
  void change_leader() {
    world.controller.set_leading(false);
    ++world.log.leader_term;
    world.controller.set_leading(true);
  }
  /// Both workers call every 200 ms; checks that the task runs on `a` alone.
  void check_run_stays(milliseconds n, bool a_calls) {
    constexpr milliseconds interval{200};
    for (milliseconds at{0}; at < n; at += interval) {
      world.pass(interval);
      if (a_calls) world.beat("a");
      world.beat("b");
      LONGS_EQUAL(1, world.workers["a"].running_size());
      LONGS_EQUAL(0, world.workers["b"].running_size());
    }
  }

  void submit_long_running() {
    fleet::step_spec step = test_world::make_step(1, 4'000);
    step.set_long_running(true);
    world.submit(1, {step});
  }
};

// A worker without an acknowledgement of its leave goes on for seconds.
TEST(unanswered_leave, long_running_task_runs_twice) {
  world.configure(1, 99);
  world.beat("a");
  submit_long_running();
  world.beat("a");
  LONGS_EQUAL(1, world.workers["a"].running_size());
  world.beat("b");
  world.workers["a"].set_draining(true);
  world.workers["a"].set_remaining_ms(100);
  world.beat("a");
  fleet::fleet_request leave;
  leave.set_worker_leaves("a");
  world.ask(leave);
  // The acknowledgement is lost: the worker calls on.
  for (int i = 0; i < 5; ++i) {
    world.pass(milliseconds(200));
    world.beat("a");
    world.beat("b");
    LONGS_EQUAL(1, world.workers["a"].running_size());
    LONGS_EQUAL(0, world.workers["b"].running_size());
  }
}

TEST(unanswered_leave, next_leader_starts_the_task_twice) {
  leave_with_a_run(100);
  change_leader();
  check_run_stays(milliseconds(3'000), true);
}

// Silence shows the end of a worker that got its acknowledgement, not of one
// that called on without.
TEST(unanswered_leave, worker_that_called_on_and_fell_silent_has_ended) {
  leave_with_a_run(100);
  check_run_stays(milliseconds(1'400), true);
  check_run_stays(milliseconds(3'800), false);
  world.pass(milliseconds(1'000));
  world.beat("b");
  LONGS_EQUAL(1, world.workers["b"].running_size());
}

TEST(unanswered_leave, worker_that_calls_on_keeps_its_run) {
  leave_with_a_run(60'000);
  LONGS_EQUAL(1, world.beat("a").stops_size());
}

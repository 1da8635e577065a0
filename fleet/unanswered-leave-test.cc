// Leaves whose acknowledgement is lost.
#include <CppUTest/TestHarness.h>

#include <string>

#include "fleet/fleet-test-world.h"

using namespace kestrelreel;

TEST_GROUP(unanswered_leave) {
  test_world world;

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

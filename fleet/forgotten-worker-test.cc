// A worker that calls while the log records that it is gone.
#include <CppUTest/TestHarness.h>

#include "fleet/fleet-test-world.h"

using namespace kestrelreel;

TEST_GROUP(forgotten_worker) {
  test_world world;

  void submit_long_running() {
    fleet::step_spec step = test_world::make_step(1, 4'000);
    step.set_long_running(true);
    world.submit(1, {step});
  }
  /// Time passes without commits until the controller proposes something.
  void pass_until_proposed() {
    for (int i = 0; i < 1'000 && world.log.proposed.empty(); ++i) {
      world.clock.advance(milliseconds(100));
      world.controller.tick();
    }
  }
};

// A start that was placed between the proposal of the loss and its commit was
// recorded for a worker without a view, whose runs no review sees.
TEST(forgotten_worker, run_recorded_after_its_loss_is_never_declared_lost) {
  world.configure(1, 99);
  world.beat("a");
  world.pass(milliseconds(6'000));
  submit_long_running();
  pass_until_proposed();
  LONGS_EQUAL(1, world.log.proposed.size());
  CHECK_TRUE(world.log.proposed.front().batch().commands(0).loss().gone());
  fleet::fleet_request call;
  *call.mutable_beat() = world.next_heartbeat("a");
  world.controller.request(call, [](const fleet::fleet_response&) {});
  world.controller.decide();
  world.commit();
  // Worker `a` crashes.
  for (int i = 0; i < 100; ++i) {
    world.pass(milliseconds(200));
    world.beat("b");
  }
  LONGS_EQUAL(1, world.workers["b"].running_size());
}

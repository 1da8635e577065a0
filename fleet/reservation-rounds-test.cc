// Guards against overdue long-running tasks being skipped in every other round.
#include <CppUTest/TestHarness.h>

#include "fleet/reservation-test-world.h"

using namespace kestrelreel;

TEST_GROUP(reservation_rounds) {
  reservation_world world;

  uint64_t examined() {
    return world.metrics.counter("kestrelreel_room_looks_total");
  }
  /// Fails one of two tasks that may not share a worker while the other runs on
  /// the only worker left.
  void interrupt_one_of_two() {
    fleet::step_spec step = make_long_running(2, 1'000);
    step.set_anti_affinity(1);
    world.heartbeat("a");
    world.heartbeat("b");
    world.submit_to(false, long_running_job, step);
    world.heartbeat("a");
    world.heartbeat("b");
    LONGS_EQUAL(2, world.running(long_running_job));
    fleet::worker_beat& b = world.workers["b"];
    const fleet::running_row row = b.running(0);
    world.end("b", row.task(), row.run(), fleet::run_failed);
    b.set_draining(true);
    b.set_remaining_ms(60'000);
    world.heartbeat("b");
  }
};

TEST(reservation_rounds, overdue_step_is_examined_in_each_round) {
  // Rounds are at least 0.5 ms per worker apart.
  constexpr int others = 1'100;
  const milliseconds pauses[] = {milliseconds(600), milliseconds(560)};
  world.add_other_pool_workers(others);
  interrupt_one_of_two();
  const milliseconds overdue_after = milliseconds(6'000);
  for (milliseconds at{0}; at < overdue_after; at += step_time) {
    world.pass(step_time);
    world.heartbeat("a");
    world.heartbeat("b");
  }
  constexpr int rounds = 10;
  for (int i = 0; i < rounds; ++i) {
    const uint64_t before = examined();
    world.clock.advance(pauses[i % 2]);
    world.controller.tick();
    world.commit();
    world.heartbeat("a");
    CHECK_TRUE(examined() > before);
  }
}

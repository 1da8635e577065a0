// Paces of backfill tasks whose order does not reach the worker.
#include <CppUTest/TestHarness.h>

#include "fleet/fleet-test-world.h"

using namespace kestrelreel;

namespace {

constexpr double over_target = 150;
constexpr double idle_tail = 5;
constexpr int calls_until_stopped = 18;

}  // namespace

TEST_GROUP(lost_pace) {
  test_world world;
  unsigned pace = full_pace_percent;

  /// One serving task and one backfill task run on "a".
  void setup() override {
    world.configure();
    fleet::step_spec serving = test_world::make_step(1);
    serving.set_long_running(true);
    serving.set_target_ms(100);
    serving.set_image("serving");
    world.submit(1, {serving});
    world.beat("a");
    fleet::step_spec fill = test_world::make_step(1, 500);
    fill.set_fills(true);
    fill.set_saves_progress(true);
    fill.set_image("fill");
    world.submit(2, {fill});
    world.beat("a");
  }
  /// Returns the pace that the answer orders; `full_pace_percent` or less.
  int call(double tail) {
    world.pass(milliseconds(200));
    fleet::running_row& row = *world.workers["a"].mutable_running(0);
    row.set_reading(tail);
    row.set_percent(100);
    const fleet::worker_orders orders = world.beat("a");
    return orders.paces_size() == 0
               ? -1
               : static_cast<int>(orders.paces(0).percent());
  }
};

// The answer that stopped a backfill task was lost, and no later one repeated
// the order: the task went on beside a serving task over its target.
TEST(lost_pace, pace_in_a_lost_answer_is_not_sent_again) {
  int lost = -1;
  for (int i = 0; i < calls_until_stopped && lost != 0; ++i)
    lost = call(over_target);
  LONGS_EQUAL(0, lost);
  int repeated = -1;
  for (int i = 0; i < calls_until_stopped && repeated < 0; ++i)
    repeated = call(over_target);
  LONGS_EQUAL(0, repeated);
}

// A new leader took a backfill task that the previous leader had stopped for
// one at full pace, and never let it go on.
TEST(lost_pace, backfill_task_stays_stopped_after_a_change_of_leader) {
  for (int i = 0; i < calls_until_stopped; ++i) {
    const int ordered = call(over_target);
    if (ordered >= 0) pace = static_cast<unsigned>(ordered);
  }
  LONGS_EQUAL(0, pace);
  world.controller.set_leading(false);
  ++world.log.leader_term;
  world.controller.set_leading(true);
  constexpr int calls_of_20_s = 100;
  for (int i = 0; i < calls_of_20_s && pace == 0; ++i) {
    const int ordered = call(idle_tail);
    if (ordered >= 0) pace = static_cast<unsigned>(ordered);
  }
  CHECK_TRUE(pace > 0);
}

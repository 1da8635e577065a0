// Starts without room in an answer wait for the next call, also where calls are
// further apart than a start waits.
#include <CppUTest/TestHarness.h>

#include "fleet/fleet-test-world.h"

using namespace kestrelreel;

namespace {

const worker_id full("full");
/// Room for the head of an answer and for one start.
constexpr size_t one_start_bytes = 1'024 + 200;

controller_settings make_narrow() {
  controller_settings settings = test_world::make_settings();
  settings.max_answer_bytes = one_start_bytes;
  // The worker is asked to call once a second.
  settings.max_heartbeats_per_s = 1;
  return settings;
}

}  // namespace

TEST_GROUP(put_off_start_withdrawn) {
  test_world world{make_narrow()};

  void setup() override { world.configure(1, 99); }
};

// The put-off start was withdrawn 0.8 s after the answer, 0.2 s before the next
// call was due.
TEST(put_off_start_withdrawn, start_is_withdrawn_before_the_next_call) {
  fleet::step_spec step = test_world::make_step(2);
  step.set_long_running(true);
  world.submit(1, {step});
  const fleet::worker_orders first = world.beat(full.str());
  LONGS_EQUAL(1, first.starts_size());
  LONGS_EQUAL(2, world.controller.book().runs_on(full).size());
  world.pass(milliseconds(static_cast<int64_t>(first.next_beat_ms())));
  LONGS_EQUAL(2, world.controller.book().runs_on(full).size());
  const fleet::worker_orders second = world.beat(full.str());
  LONGS_EQUAL(1, second.starts_size());
  LONGS_EQUAL(1, second.starts(0).run());
}

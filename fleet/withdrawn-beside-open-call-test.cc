// A start that its worker's pending call can still take is not withdrawn.
#include <CppUTest/TestHarness.h>

#include "fleet/fleet-test-world.h"

using namespace kestrelreel;

namespace {

const worker_id caller("caller");

controller_settings make_rarely_called() {
  controller_settings settings = test_world::make_settings();
  // The worker is asked to call once a second.
  settings.max_heartbeats_per_s = 1;
  return settings;
}

}  // namespace

TEST_GROUP(withdrawn_beside_open_call) {
  test_world world{make_rarely_called()};

  void setup() override { world.configure(1, 99); }
  void apply_all() {
    while (!world.log.proposed.empty()) {
      const fleet::fleet_command command = world.log.proposed.front();
      world.log.proposed.pop_front();
      world.controller.applied(command);
    }
  }
};

// The answer waited for the log to record an end, and the start was withdrawn
// meanwhile.
TEST(withdrawn_beside_open_call, answer_waits_for_an_end) {
  world.beat(caller.str());
  world.pass(milliseconds(1'000));
  world.beat(caller.str());
  world.pass(milliseconds(400));
  fleet::step_spec step = test_world::make_step(1);
  step.set_long_running(true);
  world.submit(1, {step});
  LONGS_EQUAL(1, world.controller.book().runs_on(caller).size());
  // The call is due 0.6 s after the record; it arrives 0.1 s later, with an
  // end.
  world.pass(milliseconds(700));
  LONGS_EQUAL(1, world.controller.book().runs_on(caller).size());
  world.end(caller.str(), to_ref({job_number(99), 0, 0, 0}), 1,
            fleet::run_failed);
  fleet::fleet_request request;
  *request.mutable_beat() = world.next_heartbeat(caller.str());
  fleet::worker_orders orders;
  int answers = 0;
  world.controller.request(request, [&](fleet::fleet_response it) {
    orders = it.orders();
    ++answers;
  });
  world.controller.decide();
  LONGS_EQUAL(0, answers);
  // The log takes 0.3 s.
  for (int i = 0; i < 3; ++i) {
    world.clock.advance(milliseconds(100));
    world.controller.tick();
  }
  apply_all();
  world.controller.decide();
  LONGS_EQUAL(1, answers);
  LONGS_EQUAL(1, orders.starts_size());
  LONGS_EQUAL(1, orders.starts(0).run());
}

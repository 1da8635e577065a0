// A worker that doesn't tell its clock: the spacing of its calls shows nothing.
#include <CppUTest/TestHarness.h>

#include <string>

#include "fleet/fleet-test-world.h"

using namespace kestrelreel;

namespace {

constexpr milliseconds answer_limit{1'000};
const worker_id clockless("clockless");

}  // namespace

TEST_GROUP(clockless_worker) {
  test_world world;

  void setup() override { world.configure(1, 99); }
  fleet::worker_orders call() {
    fleet::worker_beat& it = world.next_heartbeat(clockless.str());
    it.clear_clock_ms();
    fleet::fleet_request request;
    *request.mutable_beat() = it;
    return world.ask(request).orders();
  }
  bool is_bound() {
    const run_key first{{job_number(1), 0, 0, 0}, run_number(1)};
    return world.controller.book().runs_on(clockless).contains(first);
  }
};

// Calls without an answer, a second apart and each delayed, counted as answered
// ones, so that a run that an earlier leader's order began was declared lost
// within its lease.
TEST(clockless_worker, delayed_calls_end_a_run_within_its_lease) {
  call();
  fleet::step_spec step = test_world::make_step(1);
  step.set_long_running(true);
  world.submit(1, {step});
  // The worker gets this answer. The next leader reads the calls that the
  // worker made in vain before.
  const fleet::worker_beat before = world.workers[clockless.str()];
  world.workers[clockless.str()].set_sequence(before.sequence() + 10);
  LONGS_EQUAL(1, call().starts_size());
  world.workers[clockless.str()] = before;
  world.controller.set_leading(false);
  ++world.log.leader_term;
  world.controller.set_leading(true);
  const time_point leases_end =
      world.clock.now() + test_world::make_settings().leases.expiry_delay();
  for (int i = 0; world.clock.now() + answer_limit < leases_end; ++i) {
    call();
    world.pass(answer_limit);
    CHECK_TRUE_TEXT(is_bound(), std::to_string(i).c_str());
  }
}

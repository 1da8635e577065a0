// When a start that was sent, and that the worker doesn't list, is given up on
// a worker that is not known to get answers.
#include <CppUTest/TestHarness.h>

#include <string>

#include "fleet/fleet-test-world.h"

using namespace kestrelreel;

namespace {

constexpr uint64_t long_running_job = 1;
constexpr milliseconds max_downtime{9'000};
/// A worker without an answer calls again after this time.
constexpr milliseconds answer_limit{1'000};
constexpr milliseconds call_interval{200};
/// Starts are repeated for this time.
constexpr milliseconds offer_time{2'000};
const worker_id deaf("deaf");

}  // namespace

TEST_GROUP(given_up_start) {
  test_world world;

  void setup() override { world.configure(1, 99); }
  /// Sends a heartbeat that the worker sent `age` ago, and returns the answer,
  /// which does not reach the worker.
  fleet::worker_orders call_in_vain(milliseconds age = milliseconds(0)) {
    fleet::worker_beat& it = world.next_heartbeat(deaf.str());
    // A call between was lost, so that no spacing of calls shows an answer.
    it.set_sequence(it.sequence() + 1);
    it.set_clock_ms(static_cast<uint64_t>((world.clock.now() - age).count()));
    fleet::fleet_request request;
    *request.mutable_beat() = it;
    return world.ask(request).orders();
  }
  void submit_long_running() {
    fleet::step_spec step = test_world::make_step(1);
    step.set_long_running(true);
    world.submit(long_running_job, {step});
    CHECK_TRUE(is_bound());
  }
  /// True until the first run is given up.
  bool is_bound() {
    const run_key first{{job_number(long_running_job), 0, 0, 0}, run_number(1)};
    return world.controller.book().runs_on(deaf).contains(first);
  }
  void change_leader() {
    world.controller.set_leading(false);
    ++world.log.leader_term;
    world.controller.set_leading(true);
  }
  /// Calls in vain until no answer carries the start any more.
  void let_offer_expire() {
    submit_long_running();
    LONGS_EQUAL(1, call_in_vain().starts_size());
    for (milliseconds at{0}; at < offer_time - answer_limit;
         at += answer_limit) {
      world.pass(answer_limit);
      LONGS_EQUAL(1, call_in_vain().starts_size());
    }
    world.pass(answer_limit);
  }
};

// Guards against a list that arrives late but was sent before the last order
// could arrive.
TEST(given_up_start, list_is_older_than_its_arrival) {
  call_in_vain();
  let_offer_expire();
  // The last order answered a call 1 s ago.
  world.pass(milliseconds(1'000));
  LONGS_EQUAL(0, call_in_vain(milliseconds(600)).starts_size());
  world.pass(milliseconds(500));
  CHECK_TRUE(is_bound());
  LONGS_EQUAL(0, call_in_vain(milliseconds(900)).starts_size());
  world.pass(milliseconds(500));
  CHECK_FALSE(is_bound());
}

// Guards against heartbeats of before an earlier leader's order, each delayed
// by as much, so that nothing shows their age.
TEST(given_up_start, run_of_an_earlier_leader_has_begun) {
  world.beat(deaf.str());
  submit_long_running();
  const fleet::worker_beat before = world.workers[deaf.str()];
  LONGS_EQUAL(1, world.beat(deaf.str()).starts_size());
  world.workers[deaf.str()] = before;
  world.pass(milliseconds(300));
  change_leader();
  const time_point leases_end =
      world.clock.now() + test_world::make_settings().leases.expiry_delay();
  constexpr milliseconds delay{4'500};
  constexpr milliseconds check_after{100};
  for (int i = 0; world.clock.now() + check_after < leases_end; ++i) {
    call_in_vain(delay);
    world.pass(check_after);
    CHECK_TRUE_TEXT(is_bound(), std::to_string(i).c_str());
    world.pass(2 * call_interval - check_after);
  }
}

// Guards against a list without room for the end of the run.
TEST(given_up_start, list_is_incomplete) {
  world.next_heartbeat(deaf.str()).set_max_ended(1);
  call_in_vain();
  world.end(deaf.str(), to_ref({job_number(99), 0, 0, 0}), 1,
            fleet::run_failed);
  submit_long_running();
  for (milliseconds at{0}; at < max_downtime; at += answer_limit) {
    call_in_vain();
    world.pass(answer_limit);
    CHECK_TRUE(is_bound());
  }
}

// The start stays good for as long as it keeps the task from other workers.
TEST(given_up_start, worker_hears_a_new_leader_late) {
  world.beat(deaf.str());
  submit_long_running();
  change_leader();
  for (milliseconds at{0}; at < offer_time; at += answer_limit) {
    call_in_vain();
    world.pass(answer_limit);
  }
  world.pass(milliseconds(300));
  LONGS_EQUAL(1, world.beat(deaf.str()).starts_size());
  for (milliseconds at{0}; at < max_downtime; at += call_interval) {
    LONGS_EQUAL(0, world.beat(deaf.str()).starts_size());
    world.pass(call_interval);
    CHECK_TRUE(is_bound());
  }
}

// Nothing in an answer shows that a worker with a slow clock got none.
TEST(given_up_start, slow_clock) {
  constexpr int64_t percent = 100;
  constexpr int64_t slow_percent = 2;
  const time_point begin = world.clock.now();
  const auto call = [&] {
    const milliseconds lost =
        (world.clock.now() - begin) * slow_percent / percent;
    return call_in_vain(lost).starts_size();
  };
  call();
  submit_long_running();
  milliseconds down{0};
  for (; is_bound() && down < 3 * max_downtime; down += answer_limit) {
    call();
    world.pass(answer_limit);
  }
  CHECK_TRUE_TEXT(down < max_downtime, std::to_string(down.count()).c_str());
}

// Ends in calls that a box puts off, as its window is full.
#include <CppUTest/TestHarness.h>

#include <string>

#include "fleet/busy-leader-test-rows.h"
#include "fleet/fleet-test-world.h"

using namespace kestrelreel;
using busy::scenario;

namespace {

/// As for heartbeats: a worker calls three times per lease at any load.
constexpr milliseconds max_end_lag = max_lease_duration / 3;

busy::outcome run_overloaded(const scenario& it) {
  constexpr milliseconds start{3'000};
  constexpr milliseconds length{15'000};
  busy::busy_world world(it);
  world.pass(start);
  world.submit_long_running(busy::long_running_jobs,
                            busy::tasks_per_long_running_job);
  world.pass(length);
  return world.out();
}

}  // namespace

TEST_GROUP(put_off_ends) {
  test_world world;
  heartbeat_intake intake{make_narrow(), world.clock, world.metrics};
  fleet::task_ref task;

  /// A window of one call.
  static intake_settings make_narrow() {
    intake_settings out;
    out.initial_window = out.min_window = out.max_window = 1;
    return out;
  }
  /// One task runs on "a"; the call of "b" fills the window.
  void setup() override {
    world.configure(1, 99);
    world.submit(1, {test_world::make_step(1)});
    task = world.beat("a").starts(0).task();
    call("b");
    collect();
  }
  void call(const std::string& worker) {
    intake.take(world.next_heartbeat(worker),
                [](const fleet::fleet_response&) {});
  }
  /// The box puts off the calls that it can't forward in time.
  void put_off() {
    world.clock.advance(intake_settings().put_off_after);
    intake.expire();
  }
  fleet::beat_batch collect(const char* leader = "L") {
    fleet::beat_batch batch = intake.collect(leader);
    world.controller.take_heartbeats(batch, [](const fleet::beat_answer&) {});
    world.commit();
    return batch;
  }
  /// Number of workers whose ends are sent to the leader after one more call of
  /// "a" that is put off.
  int sent_after_call(const char* leader = "L") {
    call("a");
    put_off();
    return intake.has_pending_calls() ? collect(leader).waiting_size() : 0;
  }
};

// Ends of a worker whose calls were put off for a whole lease were read after
// its runs had been declared lost.
TEST(put_off_ends, task_done_on_a_worker_put_off_for_a_lease_starts_again) {
  const scenario rows[] = {
      {"answers are expensive", 800, {.answer = 4'000}},
      {"more workers, cheaper answers", 1'100, {.answer = 3'000}},
  };
  for (const scenario& it : rows) {
    const busy::outcome out = run_overloaded(it);
    STRCMP_EQUAL_TEXT("", out.violation.c_str(), it.name);
    CHECK_TRUE_TEXT(out.done > 0, it.name);
    LONGS_EQUAL_TEXT(0, out.restarts_after_success, it.name);
    busy::check_within(max_end_lag, out.longest_end_lag, it.name,
                       "an end unrecorded");
  }
}

TEST(put_off_ends, end_in_a_call_that_is_put_off_counts) {
  world.end("a", task, 1, fleet::run_done);
  LONGS_EQUAL(1, sent_after_call());
  LONGS_EQUAL(fleet::job_succeeded, world.state(1).phase());
  // The worker lists the end until an answer of the leader acknowledges it.
  LONGS_EQUAL(1, world.beat("a").last_end());
}

TEST(put_off_ends, ends_are_sent_once_until_they_may_be_lost) {
  LONGS_EQUAL(0, sent_after_call());
  world.end("a", task, 1, fleet::run_stopped);
  LONGS_EQUAL(1, sent_after_call());
  LONGS_EQUAL(0, sent_after_call());
  LONGS_EQUAL(1, sent_after_call("M"));
  world.end("a", task, 2, fleet::run_refused);
  LONGS_EQUAL(1, sent_after_call("M"));
  LONGS_EQUAL(0, sent_after_call("M"));
  world.clock.advance(intake_settings().resend_ends_after);
  call("b");
  collect("M");
  LONGS_EQUAL(1, sent_after_call("M"));
}

// An end that arrives while the loss of its run is being recorded.
TEST(put_off_ends, end_counts_after_its_run_is_declared_lost) {
  world.end("a", task, 1, fleet::run_done);
  call("a");
  put_off();
  const fleet::beat_batch batch = intake.collect("L");
  world.pass(milliseconds(10'000));
  LONGS_EQUAL(0, world.controller.book().runs_on(worker_id("a")).size());
  world.controller.take_heartbeats(batch, [](const fleet::beat_answer&) {});
  world.commit();
  LONGS_EQUAL(fleet::job_succeeded, world.state(1).phase());
}

// Younger calls took the space of each answer, so that the window was full at
// no tick: the call was neither forwarded nor put off, and its end not sent.
TEST(put_off_ends, end_waits_while_younger_calls_take_the_space) {
  world.end("a", task, 1, fleet::run_done);
  call("a");
  std::string forwarded = "b";
  int sent = 0;
  for (int i = 0; i < 8; ++i) {
    fleet::beat_answers answers;
    fleet::beat_answer& it = *answers.add_answers();
    it.set_worker(incarnation_of(world.workers[forwarded]).str());
    it.set_sequence(world.workers[forwarded].sequence());
    world.clock.advance(intake_settings().put_off_after);
    intake.handle_answers(answers);
    intake.expire();
    call("c" + std::to_string(i));
    call("d" + std::to_string(i));
    const fleet::beat_batch batch = collect();
    sent += batch.waiting_size();
    LONGS_EQUAL(1, batch.beats_size());
    forwarded = batch.beats(0).worker();
  }
  LONGS_EQUAL(1, sent);
}

// Ends, and the starts that they rule out.
#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>

#include "fleet/fleet-test-world.h"

using namespace kestrelreel;

TEST_GROUP(pending_end) {
  test_world world;

  /// A heartbeat that is answered before the log commits.
  fleet::worker_orders call(const std::string& worker) {
    const auto orders = std::make_shared<fleet::worker_orders>();
    fleet::fleet_request request;
    *request.mutable_beat() = world.next_heartbeat(worker);
    world.controller.request(
        request, [orders](const auto& it) { *orders = it.orders(); });
    world.controller.decide();
    return *orders;
  }
  /// Starts the step on workers `a` and `b`, which are not read for a lease;
  /// its next run is recorded on `c` and `d` and unsent.
  void record_later_run(const fleet::step_spec& step, uint32_t max_attempts) {
    world.configure(1, max_attempts);
    world.beat("a");
    world.beat("b");
    world.submit(1, {step});
    world.beat("a");
    world.beat("b");
    world.pass(milliseconds(4'300));
    LONGS_EQUAL(0, world.controller.book().runs().size());
    call("c");
    call("d");
    // The waiting calls time out, so that the starts are not sent.
    world.clock.advance(milliseconds(1'000));
    world.commit();
    LONGS_EQUAL(step.count(), recorded("c") + recorded("d"));
  }
  size_t recorded(const std::string& worker) {
    return world.controller.book().runs_on(worker_id(worker)).size();
  }
  /// Worker `a` lists an end of its run, which is proposed and not committed.
  void list_end(fleet::run_outcome outcome) {
    const fleet::task_ref task = world.workers["a"].running(0).task();
    world.end("a", task, 1, outcome);
    call("a");
    CHECK_TRUE(!world.log.proposed.empty());
  }
  /// Worker `a` lists a run as running and an earlier refusal of it; returns
  /// how many starts follow.
  int begin_refused_run() {
    world.configure(1, 99);
    world.beat("a");
    world.submit(1, {test_world::make_step(1, 4'000)});
    world.beat("a");
    LONGS_EQUAL(1, world.workers["a"].running_size());
    const fleet::running_row row = world.workers["a"].running(0);
    world.beat("b");
    world.end("a", row.task(), row.run(), fleet::run_refused);
    *world.workers["a"].add_running() = row;
    const int starts = world.beat("a").starts_size();
    return starts + world.beat("b").starts_size();
  }
};

// Only the start of the same member was kept back.
TEST(pending_end, gang_member_starts_after_the_success_of_its_gang) {
  fleet::step_spec step = test_world::make_step(2, 4'000);
  step.set_gang(true);
  record_later_run(step, 99);
  list_end(fleet::run_done);
  LONGS_EQUAL(0, call("c").starts_size());
  LONGS_EQUAL(0, call("d").starts_size());
  world.commit();
  LONGS_EQUAL(fleet::job_succeeded, world.state(1).phase());
}

// Only successful ends kept a start back.
TEST(pending_end, task_starts_after_its_last_attempt_failed) {
  // Worker `b` stays idle.
  const fleet::step_spec step = test_world::make_step(1, 4'000);
  record_later_run(step, 1);
  list_end(fleet::run_failed);
  LONGS_EQUAL(0, call("c").starts_size());
  LONGS_EQUAL(0, call("d").starts_size());
  world.commit();
  LONGS_EQUAL(fleet::job_failed, world.state(1).phase());
}

// The run was ordered twice: the refusal of the first order closed the run that
// began with the second one.
TEST(pending_end, refusal_ends_a_run_that_its_worker_lists_as_running) {
  LONGS_EQUAL(0, begin_refused_run());
}

TEST(pending_end, success_after_a_refusal_is_acknowledged_without_effect) {
  begin_refused_run();
  const fleet::task_ref task = world.workers["a"].running(0).task();
  world.end("a", task, 1, fleet::run_done);
  world.beat("a");
  world.beat("a");
  LONGS_EQUAL(0, world.workers["a"].ended_size());
  LONGS_EQUAL(fleet::job_succeeded, world.state(1).phase());
}

// A worker that was declared lost reports a run as done after the task was
// placed again.
#include <CppUTest/TestHarness.h>

#include <memory>

#include "fleet/fleet-test-world.h"

using namespace kestrelreel;

namespace {

/// How far the later start has come when the end is reported.
enum class later_start { proposed, recorded, sent, listed };

}  // namespace

TEST_GROUP(late_end){};

// The end was acknowledged without effect once a later run had been started,
// and that run began all the same.
TEST(late_end, task_done_late_is_not_started_again) {
  for (const later_start stage : {later_start::proposed, later_start::recorded,
                                  later_start::sent, later_start::listed}) {
    test_world world;
    world.configure(1, 99);
    world.beat("a");
    world.submit(1, {test_world::make_step(1)});
    world.beat("a");
    LONGS_EQUAL(1, world.workers["a"].running_size());
    const fleet::task_ref task = world.workers["a"].running(0).task();
    // The worker does not call until its lease has ended.
    world.pass(milliseconds(4'300));
    LONGS_EQUAL(0, world.controller.book().runs_on(worker_id("a")).size());
    world.end("a", task, 1, fleet::run_done);
    fleet::fleet_request call;
    *call.mutable_beat() = world.next_heartbeat("b");
    world.controller.request(call, [](const fleet::fleet_response&) {});
    world.controller.decide();
    CHECK_TRUE(!world.log.proposed.empty());
    if (stage == later_start::recorded) {
      // The waiting call of worker `b` times out, so that the start is not
      // sent.
      world.clock.advance(milliseconds(1'000));
      world.commit();
      LONGS_EQUAL(1, world.controller.book().runs_on(worker_id("b")).size());
    }
    if (stage == later_start::sent) {
      // The answer with the start is lost on its way.
      world.commit();
    }
    const bool listed = stage == later_start::listed;
    if (listed) world.beat("b");
    world.beat("a");
    world.beat("a");
    LONGS_EQUAL(fleet::job_succeeded, world.state(1).phase());
    const fleet::worker_orders orders = world.beat("b");
    LONGS_EQUAL(listed ? 1 : 0, world.workers["b"].running_size());
    if (listed || stage == later_start::sent)
      CHECK_TRUE(orders.stops_size() > 0);
    LONGS_EQUAL(0, world.workers["a"].ended_size());
  }
}

// A later run was sent while the end that makes it obsolete was in the log.
TEST(late_end, start_is_sent_while_a_successful_end_is_pending) {
  test_world world;
  world.configure(1, 99);
  world.beat("a");
  for (const uint64_t job : {1, 2}) {
    world.submit(job, {test_world::make_step(1)});
  }
  world.beat("a");
  const auto listed = world.workers["a"].running();
  LONGS_EQUAL(2, listed.size());
  world.pass(milliseconds(4'300));
  const auto call = [&world](const std::string& worker) {
    const auto orders = std::make_shared<fleet::worker_orders>();
    fleet::fleet_request request;
    *request.mutable_beat() = world.next_heartbeat(worker);
    world.controller.request(
        request, [orders](const auto& it) { *orders = it.orders(); });
    world.controller.decide();
    return *orders;
  };
  call("b");
  // The waiting call of worker `b` times out, so that the starts are not sent.
  world.clock.advance(milliseconds(1'000));
  world.commit();
  LONGS_EQUAL(2, world.controller.book().runs_on(worker_id("b")).size());
  for (const auto& row : listed) {
    world.end("a", row.task(), row.run(), fleet::run_done);
    call("a");
  }
  LONGS_EQUAL(2, world.log.proposed.size());
  world.controller.applied(world.log.proposed.front());
  world.log.proposed.pop_front();
  LONGS_EQUAL(0, call("b").starts_size());
}

// Of two ends listed in reverse, the one with the lower number was acknowledged
// unread.
TEST(late_end, end_listed_after_one_with_a_higher_number_is_dropped) {
  test_world world;
  world.configure(1, 99);
  world.beat("a");
  world.submit(1, {test_world::make_step(2)});
  world.beat("a");
  const auto listed = world.workers["a"].running();
  LONGS_EQUAL(2, listed.size());
  for (const auto& row : listed) {
    world.end("a", row.task(), row.run(), fleet::run_done);
  }
  world.workers["a"].mutable_ended()->SwapElements(0, 1);
  world.beat("a");
  LONGS_EQUAL(fleet::job_succeeded, world.state(1).phase());
}

// A new leader does not know whether an earlier one sent a start: the end of
// the earlier run was acknowledged, and the start was sent all the same.
TEST(late_end, new_leader_starts_a_task_done_late) {
  test_world world;
  world.configure(1, 99);
  world.beat("a");
  world.submit(1, {test_world::make_step(1)});
  world.beat("a");
  const fleet::task_ref task = world.workers["a"].running(0).task();
  world.pass(milliseconds(4'300));
  LONGS_EQUAL(0, world.controller.book().runs_on(worker_id("a")).size());
  fleet::fleet_request call;
  *call.mutable_beat() = world.next_heartbeat("b");
  world.controller.request(call, [](const fleet::fleet_response&) {});
  world.controller.decide();
  world.clock.advance(milliseconds(1'000));
  world.commit();
  LONGS_EQUAL(1, world.controller.book().runs_on(worker_id("b")).size());
  ++world.log.leader_term;
  world.controller.set_leading(true);
  world.end("a", task, 1, fleet::run_done);
  world.beat("a");
  world.beat("a");
  LONGS_EQUAL(0, world.workers["a"].ended_size());
  world.beat("b");
  LONGS_EQUAL(0, world.workers["b"].running_size());
  LONGS_EQUAL(fleet::job_succeeded, world.state(1).phase());
}

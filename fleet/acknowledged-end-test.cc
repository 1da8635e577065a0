// Whether ends that are acknowledged count.
#include <CppUTest/TestHarness.h>

#include <string>

#include "fleet/acknowledged-end-test-world.h"

using namespace kestrelreel;
using acknowledged::scenario;

TEST_GROUP(acknowledged_end) {
  test_world world;

  /// Starts a job with one task on worker `a`, which is done there; the end is
  /// not reported yet.
  void complete_unreported() {
    world.configure(1, 99);
    world.beat("a");
    world.submit(1, {test_world::make_step(1)});
    world.beat("a");
    LONGS_EQUAL(1, world.workers["a"].running_size());
    const fleet::task_ref task = world.workers["a"].running(0).task();
    world.end("a", task, 1, fleet::run_done);
  }
  /// Another box sends the ends in the call that waits there.
  void send_waiting_ends() {
    fleet::beat_batch batch;
    *batch.add_waiting() = world.next_heartbeat("a");
    world.controller.take_heartbeats(batch, [](const auto&) {});
  }
  void check_acknowledged_and_counted() {
    world.commit();
    world.beat("a");
    world.beat("a");
    LONGS_EQUAL(0, world.workers["a"].ended_size());
    LONGS_EQUAL(fleet::job_succeeded, world.state(1).phase());
    LONGS_EQUAL(0, world.beat("b").starts_size());
  }
};

// Ends that were sent ahead were dropped while a loss of their runs was in the
// log.
TEST(acknowledged_end, waiting_end_is_dropped_while_its_loss_is_pending) {
  complete_unreported();
  for (int i = 0; i < 43; ++i) {
    world.clock.advance(milliseconds(100));
    world.controller.tick();
  }
  CHECK_TRUE(!world.log.proposed.empty());
  LONGS_EQUAL(1, world.controller.book().runs_on(worker_id("a")).size());
  send_waiting_ends();
  // Without the call of worker `a`.
  world.commit();
  LONGS_EQUAL(0, world.beat("b").starts_size());
  check_acknowledged_and_counted();
}

// A new leader dropped the ends of a worker that it had not heard.
TEST(acknowledged_end, waiting_end_is_dropped_by_a_new_leader) {
  complete_unreported();
  ++world.log.leader_term;
  world.controller.set_leading(true);
  send_waiting_ends();
  world.commit();
  LONGS_EQUAL(fleet::job_succeeded, world.state(1).phase());
  check_acknowledged_and_counted();
}

// An end that the log refused was taken for recorded.
TEST(acknowledged_end, waiting_end_is_not_recorded_after_a_refusal) {
  complete_unreported();
  world.log.refuses = true;
  send_waiting_ends();
  world.controller.decide();
  world.log.refuses = false;
  send_waiting_ends();
  world.commit();
  LONGS_EQUAL(fleet::job_succeeded, world.state(1).phase());
  check_acknowledged_and_counted();
}

// An end was acknowledged before it was committed.
TEST(acknowledged_end, waiting_end_is_acknowledged_uncommitted) {
  complete_unreported();
  fleet::worker_orders orders;
  fleet::fleet_request call;
  fleet::worker_beat& beat = *call.mutable_beat();
  beat = world.next_heartbeat("a");
  // A call from before the end.
  fleet::running_row& row = *beat.add_running();
  *row.mutable_task() = beat.ended(0).task();
  row.set_run(1);
  beat.clear_ended();
  world.controller.request(call,
                           [&orders](const auto& it) { orders = it.orders(); });
  send_waiting_ends();
  world.controller.decide();
  CHECK_TRUE(!world.log.proposed.empty());
  world.clock.advance(milliseconds(900));
  world.controller.decide();
  CHECK_TRUE(orders.hold_ms() > 0);
  LONGS_EQUAL(0, orders.last_end());
  check_acknowledged_and_counted();
}

// An end was dropped as the numbers of its worker's ends had been forgotten.
TEST(acknowledged_end, worker_that_was_given_up_returns) {
  complete_unreported();
  world.pass(milliseconds(70'000));
  CHECK_TRUE(world.controller.book().workers().empty());
  world.beat("a");
  world.beat("a");
  LONGS_EQUAL(0, world.workers["a"].ended_size());
  LONGS_EQUAL(fleet::job_succeeded, world.state(1).phase());
}

// An end in a difference that the leader can't apply was acknowledged unread.
TEST(acknowledged_end, end_in_a_baseless_difference_is_acknowledged_unread) {
  for (const bool lost : {false, true}) {
    test_world fresh;
    fresh.configure(1, 99);
    fresh.beat("a");
    fresh.submit(1, {test_world::make_step(1)});
    fresh.beat("a");
    const fleet::task_ref task = fresh.workers["a"].running(0).task();
    fresh.end("a", task, 1, fleet::run_done);
    if (lost) fresh.pass(milliseconds(4'300));
    fleet::fleet_request request;
    fleet::worker_beat& beat = *request.mutable_beat();
    beat = fresh.next_heartbeat("a");
    beat.set_base(beat.sequence() + 100);
    beat.clear_address();
    beat.clear_pool();
    const fleet::fleet_response response = fresh.ask(request);
    CHECK_TRUE(response.wants_whole());
    LONGS_EQUAL(0, response.orders().last_end());
    fresh.beat("a");
    fresh.beat("a");
    LONGS_EQUAL(0, fresh.workers["a"].ended_size());
    LONGS_EQUAL(fleet::job_succeeded, fresh.state(1).phase());
  }
}

TEST(acknowledged_end, task_starts_after_its_successful_end) {
  constexpr uint64_t seeds = 12;
  constexpr milliseconds length{60'000};
  const scenario rows[] = {
      {.name = "put off"},
      {.name = "put off, ends not sent ahead", .sends_waiting_ends = false},
      {.name = "slow log", .commit_percent = 10},
      {.name = "leader changes", .leader_change = 100},
      {.name = "leader changes, slow log",
       .leader_change = 60,
       .commit_percent = 10},
      {.name = "short lists", .max_ended = 2},
      {.name = "short lists, leader changes",
       .max_ended = 1,
       .leader_change = 100,
       .commit_percent = 20},
      {.name = "crashes", .leader_change = 300, .crash = 100},
      {.name = "gangs", .gangs = true},
      {.name = "gangs, leader changes",
       .max_ended = 3,
       .gangs = true,
       .leader_change = 100,
       .crash = 200,
       .commit_percent = 20},
  };
  for (const scenario& it : rows) {
    int done = 0;
    int lapsed = 0;
    int sent_ahead = 0;
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
      acknowledged::simulation sim(it, seed);
      sim.pass(length);
      const std::string where = str_cat(it.name, ", seed ", seed);
      STRCMP_EQUAL_TEXT("", sim.violation().c_str(), where.c_str());
      done += sim.done();
      lapsed += sim.interruptions();
      sent_ahead += sim.sent_ahead();
    }
    CHECK_TRUE_TEXT(done > 0, it.name);
    CHECK_TRUE_TEXT(lapsed > 0, it.name);
    CHECK_TRUE_TEXT(sent_ahead > 0 || !it.sends_waiting_ends, it.name);
  }
}

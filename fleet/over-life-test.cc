// Incarnations of workers that are over, or were wrongly taken for over: their
// ends still count, and a live incarnation is accepted again.
//
// Guards against four failures. A live worker was taken for an earlier
// incarnation when two delayed heartbeats of the earlier one arrived one second
// apart: all of its 199 heartbeats of the next minute were answered without
// orders. The success of a run that was declared lost was acknowledged but not
// counted, because a later run had been declared lost too. A worker that left
// but still sent heartbeats kept a run whose start order it never got. The
// remaining time that a draining worker reported was already over when the
// heartbeat arrived, 0.8 s after it was sent.
#include <CppUTest/TestHarness.h>

#include "fleet/cancelled-test-world.h"
#include "fleet/fleet-test-world.h"

using namespace kestrelreel;

TEST_GROUP(over_life) {
  test_world world;

  fleet::fleet_response send_heartbeat(const std::string& worker,
                                       int64_t own_clock_ms) {
    fleet::worker_beat& it = world.workers[worker];
    it.set_worker(worker);
    it.set_pool("pool");
    it.set_machine("m");
    it.set_cpu_milli(4'000);
    it.set_memory_mb(1'000);
    it.set_sequence(it.sequence() + 1);
    it.set_clock_ms(static_cast<uint64_t>(own_clock_ms));
    fleet::fleet_request request;
    *request.mutable_beat() = it;
    return world.ask(request);
  }
  void leave(const std::string& worker) {
    fleet::fleet_request request;
    request.set_worker_leaves(worker);
    world.ask(request);
  }
  /// Sends three heartbeats of another incarnation, `clock_step_ms` apart by
  /// its own clock, while the incarnation with a run is silent.
  void send_heartbeats_beside_silent_run(int64_t clock_step_ms) {
    world.configure();
    send_heartbeat("live", 5'000);
    world.submit(7, {test_world::make_step(1)});
    send_heartbeat("live", 5'100);
    LONGS_EQUAL(1, runs_at("live"));
    world.pass(milliseconds(300));
    for (int i = 0; i < 3; ++i) {
      send_heartbeat("other", 900'000 + clock_step_ms * i);
      world.pass(milliseconds(900));
    }
  }
  size_t runs_at(const std::string& worker) {
    return world.controller.book().runs_on(worker_id(worker)).size();
  }
};

TEST(over_life, live_incarnation_is_accepted_again) {
  world.configure();
  constexpr int64_t live_clock_ms = 5'000;
  constexpr int64_t earlier_clock_ms = 900'000;
  send_heartbeat("live", live_clock_ms);
  world.pass(milliseconds(300));
  send_heartbeat("earlier", earlier_clock_ms);
  world.pass(milliseconds(1'000));
  send_heartbeat("earlier", earlier_clock_ms + 1'000);
  world.pass(milliseconds(900));
  int64_t at = 0;
  constexpr int64_t max_rejoin_ms = 1'200;
  while (
      send_heartbeat("live", live_clock_ms + 2'200 + at).orders().hold_ms() ==
      0) {
    at += 300;
    world.pass(milliseconds(300));
    CHECK_TRUE(at <= max_rejoin_ms);
  }
}

// Delayed heartbeats of the earlier incarnation, each of which had timed out
// without an answer, were taken for a new incarnation.
TEST(over_life, unanswered_heartbeats_end_no_incarnation_at_their_address) {
  constexpr int64_t answer_limit_ms = 1'000;
  send_heartbeats_beside_silent_run(answer_limit_ms);
  LONGS_EQUAL(1, runs_at("live"));
}

// A clock that runs 2% slow shows 980 ms between two such heartbeats.
TEST(over_life, unanswered_heartbeats_by_a_slow_clock_end_a_live_incarnation) {
  constexpr int64_t answer_limit_by_slow_clock_ms = 980;
  send_heartbeats_beside_silent_run(answer_limit_by_slow_clock_ms);
  LONGS_EQUAL(1, runs_at("live"));
}

TEST(over_life, answered_heartbeats_end_the_earlier_incarnation) {
  constexpr int64_t answered_in_time_ms = 900;
  send_heartbeats_beside_silent_run(answered_in_time_ms);
  LONGS_EQUAL(0, runs_at("live"));
}

// The successor at the machine keeps calling, so that the heartbeats can only
// be delayed. The task runs there again by then.
TEST(over_life, end_of_an_outlived_incarnation_is_acknowledged_late) {
  send_heartbeats_beside_silent_run(900);
  LONGS_EQUAL(0, runs_at("live"));
  fleet::run_end& end = *world.workers["live"].add_ended();
  end.set_number(1);
  *end.mutable_task() = to_ref({job_number(7), 0, 0, 0});
  end.set_run(1);
  end.set_outcome(fleet::run_done);
  for (int i = 0; i < 4; ++i) {
    const fleet::worker_orders orders =
        send_heartbeat("live", 5'300 + 900 * i).orders();
    LONGS_EQUAL(0, orders.last_end());
    LONGS_EQUAL(0, orders.hold_ms());
    world.pass(milliseconds(450));
    send_heartbeat("other", 903'000 + 900 * i);
    world.pass(milliseconds(450));
  }
}

TEST(over_life, delayed_heartbeats_do_not_revive_an_incarnation) {
  world.configure();
  send_heartbeat("a", 5'000);
  leave("a");
  world.pass(milliseconds(1'500));
  world.submit(7, {test_world::make_step(1)});
  struct row {
    const char* name;
    milliseconds apart;
    int64_t clock_step_ms;
  };
  const row rows[] = {{"all at once", milliseconds(0), 500},
                      {"the same one repeatedly", milliseconds(500), 0}};
  for (const row& it : rows) {
    int64_t clock_ms = 6'000;
    for (int i = 0; i < 5; ++i) {
      LONGS_EQUAL_TEXT(0, send_heartbeat("a", clock_ms).orders().hold_ms(),
                       it.name);
      clock_ms += it.clock_step_ms;
      world.pass(it.apart);
    }
    LONGS_EQUAL_TEXT(0, runs_at("a"), it.name);
    world.pass(milliseconds(3'000));
  }
}

TEST(over_life, next_leader_knows_of_the_leave) {
  cancelled::control_boxes boxes;
  cancelled::late_worker worker(boxes, "a", cancelled::heartbeat_route::direct,
                                4'000);
  worker.send_heartbeat();
  fleet::fleet_request request;
  request.set_worker_leaves("a");
  boxes.ask(request);
  boxes.pass(milliseconds(1'500));
  boxes.elect(1);
  boxes.ask(test_world::make_submit(7, {test_world::make_step(1)}));
  LONGS_EQUAL(0, worker.send_heartbeat().hold_ms());
  LONGS_EQUAL(0, boxes.book().runs_on(worker_id("a")).size());
}

TEST(over_life, worker_that_left_gets_no_new_tasks) {
  world.configure();
  send_heartbeat("a", 5'000);
  leave("a");
  world.submit(7, {test_world::make_step(1)});
  for (int i = 1; i < 20; ++i) {
    LONGS_EQUAL(0, send_heartbeat("a", 5'000 + 200 * i).orders().starts_size());
    world.pass(milliseconds(200));
  }
  LONGS_EQUAL(0, runs_at("a"));
}

TEST(over_life, unsent_run_of_a_worker_that_left_is_released) {
  world.configure();
  send_heartbeat("a", 5'000);
  world.submit(7, {test_world::make_step(1)});
  LONGS_EQUAL(1, runs_at("a"));
  leave("a");
  for (int i = 1; i < 20; ++i) {
    world.pass(milliseconds(200));
    send_heartbeat("a", 5'000 + 200 * i);
  }
  LONGS_EQUAL(0, runs_at("a"));
}

TEST(over_life, success_of_a_run_declared_lost_counts) {
  world.configure();
  job_book book = world.controller.book();
  const fleet::task_ref task = to_ref({job_number(7), 0, 0, 0});
  fleet::fleet_command submit;
  *submit.mutable_submit() =
      test_world::make_submit(7, {test_world::make_step(1)}).job().submit();
  submit.mutable_submit()->set_job(7);
  submit.mutable_submit()->set_queue("plans");
  book.apply(submit);
  for (uint32_t run = 1; run <= 2; ++run) {
    fleet::fleet_command start;
    fleet::run_start& it = *start.mutable_starts()->add_starts();
    *it.mutable_task() = task;
    it.set_run(run);
    it.set_worker(run == 1 ? "a" : "b");
    book.apply(start);
    fleet::fleet_command loss;
    loss.mutable_loss()->set_worker(it.worker());
    fleet::run_loss& lost = *loss.mutable_loss()->add_runs();
    *lost.mutable_task() = task;
    lost.set_run(run);
    book.apply(loss);
  }
  fleet::fleet_command report;
  report.mutable_report()->set_worker("a");
  fleet::run_end& end = *report.mutable_report()->add_ends();
  end.set_number(1);
  *end.mutable_task() = task;
  end.set_run(1);
  end.set_outcome(fleet::run_done);
  book.apply(report);
  LONGS_EQUAL(fleet::job_succeeded, book.find(job_number(7))->phase);
}

// The remaining time must cover a stop of 1 s, the report of the end and the
// commit.
TEST(over_life, network_delay_reduces_the_time_left_to_a_draining_worker) {
  world.configure();
  world.submit(7, {test_world::make_step(1)});
  world.beat("a");
  world.beat("a");
  fleet::worker_beat& it = world.workers["a"];
  it.set_draining(true);
  constexpr int64_t network_delay_ms = 800;
  const int64_t leaves_at_ms = world.clock.now().count() + 4'000;
  int64_t left_ms = 4'000;
  while (left_ms > 0) {
    world.pass(milliseconds(200));
    left_ms = leaves_at_ms - world.clock.now().count();
    it.set_remaining_ms(static_cast<uint64_t>(left_ms + network_delay_ms));
    it.set_sequence(it.sequence() + 1);
    it.set_clock_ms(
        static_cast<uint64_t>(world.clock.now().count() - network_delay_ms));
    fleet::fleet_request request;
    *request.mutable_beat() = it;
    if (world.ask(request).orders().stops_size() > 0) break;
  }
  CHECK_TRUE(left_ms >= 1'700);
}

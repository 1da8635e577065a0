// Workers that restart under the same id without any state: their sequence
// numbers, end numbers and clock start again.
//
// Guards against two failures. First, a worker was cut off, crashed and sent
// heartbeats again 0.6 s later. They were taken for overtaken ones of the
// earlier incarnation because of their lower sequence numbers; the leader
// declared the worker lost 7.3 s after its return ("runs-over ... cause="lease
// over or never begun" silent-ms=7337"), and 17 of 48 workers were idle while
// long-running tasks waited ("lasting-waits workers=31 fit=0"). Second, after a
// restart of all control boxes the log still held the number of ends of the
// earlier incarnation, so that the new leader acknowledged an end that the
// worker had not reported yet ("ends-acknowledged ... sequence=18 last=1"). The
// worker's first success, number 1, was then ignored as already reported, its
// run was ordered again and refused ("outcome=run_refused"), and the task was
// started once more on another worker.
#include <CppUTest/TestHarness.h>

#include "fleet/restarted-test-world.h"

using namespace kestrelreel;
using restarted::control_boxes;
using restarted::first_start_ms;
using restarted::heartbeat_route;
using restarted::heartbeats_per_takeover;
using restarted::id;
using restarted::incarnation;
using restarted::phase_of;
using restarted::restart_case;
using restarted::restart_cases;
using restarted::run_first_incarnation;
using restarted::second_start_ms;
using restarted::submit;
using restarted::takeover_time;

TEST_GROUP(restarted_worker){};

TEST(restarted_worker, is_used_at_once_and_its_tasks_are_started_again) {
  for (const restart_case& it : restart_cases) {
    control_boxes boxes;
    incarnation first(boxes, it.route, first_start_ms, 500'000);
    run_first_incarnation(boxes, first);
    if (it.leader_changes) boxes.elect(1);
    boxes.pass(milliseconds(600));
    incarnation second(boxes, it.route, second_start_ms, it.clock_ms);
    CHECK_TRUE_TEXT(second.send_heartbeat().hold_ms() > 0, it.name);
    submit(boxes, 4, 1);
    LONGS_EQUAL_TEXT(2, second.send_heartbeats_for(milliseconds(400)), it.name);
    LONGS_EQUAL_TEXT(1, second.runs_of(4), it.name);
    LONGS_EQUAL_TEXT(heartbeats_per_takeover,
                     second.send_heartbeats_for(takeover_time), it.name);
    LONGS_EQUAL_TEXT(1, second.runs_of(2), it.name);
    LONGS_EQUAL_TEXT(1, second.runs_of(3), it.name);
    LONGS_EQUAL_TEXT(2, second.beat().running(1).run(), it.name);
  }
}

// Until the earlier incarnation is known to be over, it has no free capacity:
// tasks placed there would wait for the lease of a dead incarnation.
TEST(restarted_worker, earlier_incarnation_gets_no_new_tasks) {
  for (const restart_case& it : restart_cases) {
    control_boxes boxes;
    incarnation first(boxes, it.route, first_start_ms, 500'000);
    run_first_incarnation(boxes, first);
    if (it.leader_changes) {
      boxes.elect(1);
      first.send_heartbeat();
    }
    boxes.pass(cancelled::heartbeat_interval);
    incarnation second(boxes, it.route, second_start_ms, it.clock_ms);
    second.send_heartbeat();
    submit(boxes, 4, 6);
    second.send_heartbeats_for(milliseconds(400));
    LONGS_EQUAL_TEXT(4, second.runs_of(4), it.name);
    for (const run_key& run :
         boxes.book().runs_on(incarnation_of(id, first_start_ms))) {
      CHECK_TRUE_TEXT(run.task.job.value() != 4, it.name);
    }
  }
}

TEST(restarted_worker, its_first_ends_count_and_none_is_acknowledged_early) {
  for (const restart_case& it : restart_cases) {
    control_boxes boxes;
    incarnation first(boxes, it.route, first_start_ms, 500'000);
    run_first_incarnation(boxes, first);
    first.end_all(fleet::run_failed);
    first.send_heartbeats_for(milliseconds(400));
    boxes.pass(milliseconds(600));
    if (it.leader_changes) boxes.elect(1);
    incarnation second(boxes, it.route, second_start_ms, it.clock_ms);
    LONGS_EQUAL_TEXT(0, second.send_heartbeat().last_end(), it.name);
    second.send_heartbeats_for(takeover_time);
    LONGS_EQUAL_TEXT(1, second.runs_of(2), it.name);
    second.end_all();
    second.send_heartbeats_for(takeover_time);
    LONGS_EQUAL_TEXT(fleet::job_succeeded, phase_of(boxes, 2), it.name);
    LONGS_EQUAL_TEXT(0, second.runs_of(2), it.name);
  }
}

TEST(restarted_worker, its_first_end_is_not_taken_for_the_recorded_one) {
  control_boxes boxes;
  incarnation first(boxes, heartbeat_route::direct, first_start_ms, 500'000);
  run_first_incarnation(boxes, first);
  boxes.pass(milliseconds(8'000));
  boxes.elect(1);
  incarnation second(boxes, heartbeat_route::direct, second_start_ms, 2'000);
  LONGS_EQUAL(0, second.send_heartbeat().last_end());
  second.send_heartbeats_for(takeover_time);
  LONGS_EQUAL(1, second.runs_of(2));
  second.end_all();
  second.send_heartbeats_for(takeover_time);
  LONGS_EQUAL(fleet::job_succeeded, phase_of(boxes, 2));
}

// A heartbeat of the earlier incarnation is delayed by a network cut and
// arrives after the first one of the new incarnation. It must neither replace
// the new incarnation's runs and ends nor revive the earlier incarnation.
TEST(restarted_worker,
     delayed_heartbeat_of_the_earlier_incarnation_is_ignored) {
  for (const restart_case& it : restart_cases) {
    control_boxes boxes;
    incarnation first(boxes, it.route, first_start_ms, 500'000);
    run_first_incarnation(boxes, first);
    fleet::worker_beat delayed = first.beat();
    delayed.set_sequence(delayed.sequence() + 1);
    fleet::run_end& end = *delayed.add_ended();
    end.set_number(40);
    *end.mutable_task() = delayed.running(0).task();
    end.set_run(1);
    end.set_outcome(fleet::run_failed);
    if (it.leader_changes) boxes.elect(1);
    incarnation second(boxes, it.route, second_start_ms, it.clock_ms);
    second.send_heartbeats_for(takeover_time);
    LONGS_EQUAL_TEXT(2, second.beat().running_size(), it.name);
    LONGS_EQUAL_TEXT(0, second.send(delayed).orders().hold_ms(), it.name);
    const fleet::worker_orders next = second.send_heartbeat();
    CHECK_TRUE_TEXT(next.hold_ms() > 0, it.name);
    LONGS_EQUAL_TEXT(0, next.stops_size(), it.name);
    LONGS_EQUAL_TEXT(0, next.last_end(), it.name);
    LONGS_EQUAL_TEXT(heartbeats_per_takeover,
                     second.send_heartbeats_for(takeover_time), it.name);
    LONGS_EQUAL_TEXT(2, second.beat().running_size(), it.name);
  }
}

// Both incarnations are at sequence number 3: an answer to one must not go to
// the other.
TEST(restarted_worker, answer_to_the_earlier_incarnation_goes_to_no_later_one) {
  control_boxes boxes;
  metrics_registry metrics;
  heartbeat_intake intake({}, boxes.clock, metrics);
  fleet::worker_beat beat;
  beat.set_worker(id);
  beat.set_sequence(3);
  beat.set_born(first_start_ms);
  fleet::fleet_response to_first;
  intake.take(beat, [&](fleet::fleet_response it) { to_first = it; });
  fleet::beat_answers answers;
  boxes.leader().take_heartbeats(
      intake.collect("0"),
      [&](fleet::beat_answer it) { *answers.add_answers() = std::move(it); });
  boxes.commit();
  boxes.pass(milliseconds(700));
  LONGS_EQUAL(1, answers.answers_size());
  beat.set_born(second_start_ms);
  int asked = 0;
  intake.take(beat, [&](fleet::fleet_response) { ++asked; });
  intake.handle_answers(answers);
  LONGS_EQUAL(0, asked);
}

// The worker's clock was set back between the two starts.
TEST(restarted_worker,
     incarnation_with_an_earlier_start_time_is_accepted_while_alive) {
  for (const restart_case& it : restart_cases) {
    control_boxes boxes;
    incarnation first(boxes, it.route, first_start_ms, 500'000);
    run_first_incarnation(boxes, first);
    if (it.leader_changes) boxes.elect(1);
    boxes.pass(milliseconds(600));
    incarnation second(boxes, it.route, first_start_ms - 5'000, it.clock_ms);
    second.send_heartbeats_for(milliseconds(5'000));
    LONGS_EQUAL_TEXT(1, second.runs_of(2), it.name);
    LONGS_EQUAL_TEXT(1, second.runs_of(3), it.name);
  }
}

TEST(restarted_worker, incarnation_is_named_by_worker_and_start_time) {
  struct named {
    const char* name;
    uint64_t born;
    const char* incarnation;
  };
  const named table[] = {
      {"i-1", 0, "i-1"},
      {"i-1", 5, "i-1#5"},
      {"", 5, "#5"},
      {"i-1", 1'768'000'001'918, "i-1#1768000001918"},
  };
  for (const named& it : table) {
    const worker_id incarnation = incarnation_of(it.name, it.born);
    STRCMP_EQUAL(it.incarnation, incarnation.str().c_str());
    STRCMP_EQUAL(it.name, worker_name_of(incarnation).c_str());
    CHECK_TRUE_TEXT(it.born == start_time_of(incarnation), it.incarnation);
  }
}

TEST(restarted_worker, repeated_restarts_keep_the_worker_usable) {
  for (const restart_case& it : restart_cases) {
    control_boxes boxes;
    incarnation first(boxes, it.route, first_start_ms, 500'000);
    run_first_incarnation(boxes, first);
    for (uint64_t n = 1; n <= 5; ++n) {
      if (it.leader_changes) boxes.elect(n % 2);
      incarnation next(boxes, it.route, first_start_ms + n * 2'000,
                       it.clock_ms + static_cast<int64_t>(n % 2) * 700'000);
      next.send_heartbeats_for(takeover_time);
      LONGS_EQUAL_TEXT(1, next.runs_of(2), it.name);
      LONGS_EQUAL_TEXT(n + 1, next.beat().running(0).run(), it.name);
    }
  }
}

// A new leader took a live incarnation for one that was over, ignored the
// success that it reported, and started the task again after its end.
TEST(restarted_worker, success_of_a_doubted_incarnation_counts) {
  for (const restart_case& it : restart_cases) {
    control_boxes boxes;
    // The clock was set back between the two incarnations.
    incarnation first(boxes, it.route, second_start_ms, 500'000);
    run_first_incarnation(boxes, first);
    incarnation second(boxes, it.route, first_start_ms, it.clock_ms);
    second.send_heartbeats_for(milliseconds(1'000));
    submit(boxes, 4, 1);
    second.send_heartbeats_for(milliseconds(200));
    LONGS_EQUAL_TEXT(1, second.runs_of(4), it.name);
    second.end_all();
    boxes.elect(1);
    LONGS_EQUAL_TEXT(0, second.send_heartbeat().hold_ms(), it.name);
    incarnation third(boxes, it.route, second_start_ms + 60'000, 1'000);
    third.send_heartbeats_for(3 * takeover_time);
    LONGS_EQUAL_TEXT(0, third.runs_of(4), it.name);
    LONGS_EQUAL_TEXT(fleet::job_succeeded, phase_of(boxes, 4), it.name);
  }
}

// Workers that start again under the id that they had, and know nothing of
// before: their sequence, the numbers of their ends and their clock begin anew.
//
// A worker was cut off, crashed and called again 0.6 s later under its id. Its
// calls passed for overtaken ones of the life before, as their sequence was
// lower: the leader gave up on it 7.3 s after it had come back ("runs-over
// worker=i-3f28199db4 cause="lease over or never begun" silent-ms=7337"), and
// 17 of 48 workers lay idle while lasting tasks waited ("lasting-waits
// workers=31 fit=0"). Then all control boxes started again. The new leader knew
// nothing of the earlier calls and took the worker in, but the log held how
// many ends the life before had told: "ends-acknowledged worker=i-28acd1bd34
// sequence=18 last=1" acknowledged an end that the worker had not told yet.
// Its first run ended well as number 1, passed for told already, was ordered
// again, "outcome=run_refused", and then started anew elsewhere.
#include <CppUTest/TestHarness.h>

#include "fleet/restarted-test-world.h"

using namespace kestrelreel;
using restarted::boxes;
using restarted::calls_soon;
using restarted::first_born;
using restarted::id;
using restarted::life;
using restarted::live_once;
using restarted::phase_of;
using restarted::road;
using restarted::row;
using restarted::rows;
using restarted::second_born;
using restarted::soon;
using restarted::submit;

TEST_GROUP(restarted_worker){};

TEST(restarted_worker, is_used_at_once_and_what_ran_there_starts_anew) {
  for (const row& it : rows) {
    boxes all;
    life first(all, it.calls_by, first_born, 500'000);
    live_once(all, first);
    if (it.leader_changes) all.elect(1);
    all.pass(milliseconds(600));
    life second(all, it.calls_by, second_born, it.clock_ms);
    CHECK_TRUE_TEXT(second.call().hold_ms() > 0, it.name);
    submit(all, 4, 1);
    LONGS_EQUAL_TEXT(2, second.call_for(milliseconds(400)), it.name);
    LONGS_EQUAL_TEXT(1, second.runs_of(4), it.name);
    LONGS_EQUAL_TEXT(calls_soon, second.call_for(soon), it.name);
    LONGS_EQUAL_TEXT(1, second.runs_of(2), it.name);
    LONGS_EQUAL_TEXT(1, second.runs_of(3), it.name);
    LONGS_EQUAL_TEXT(2, second.beat().running(1).run(), it.name);
  }
}

// Until the earlier life is known to be over, its room is none: what is placed
// there would wait for the lease of a life that is gone.
TEST(restarted_worker, earlier_life_gets_no_new_work) {
  for (const row& it : rows) {
    boxes all;
    life first(all, it.calls_by, first_born, 500'000);
    live_once(all, first);
    if (it.leader_changes) {
      all.elect(1);
      first.call();
    }
    all.pass(cancelled::call_pause);
    life second(all, it.calls_by, second_born, it.clock_ms);
    second.call();
    submit(all, 4, 6);
    second.call_for(milliseconds(400));
    LONGS_EQUAL_TEXT(4, second.runs_of(4), it.name);
    for (const run_key& run :
         all.book().runs_on(incarnation_of(id, first_born))) {
      CHECK_TRUE_TEXT(run.task.job.value() != 4, it.name);
    }
  }
}

TEST(restarted_worker, its_first_ends_count_and_none_is_told_before) {
  for (const row& it : rows) {
    boxes all;
    life first(all, it.calls_by, first_born, 500'000);
    live_once(all, first);
    first.end_all(fleet::run_failed);
    first.call_for(milliseconds(400));
    all.pass(milliseconds(600));
    if (it.leader_changes) all.elect(1);
    life second(all, it.calls_by, second_born, it.clock_ms);
    LONGS_EQUAL_TEXT(0, second.call().last_end(), it.name);
    second.call_for(soon);
    LONGS_EQUAL_TEXT(1, second.runs_of(2), it.name);
    second.end_all();
    second.call_for(soon);
    LONGS_EQUAL_TEXT(fleet::job_succeeded, phase_of(all, 2), it.name);
    LONGS_EQUAL_TEXT(0, second.runs_of(2), it.name);
  }
}

TEST(restarted_worker, its_first_end_is_not_the_one_that_the_log_holds) {
  boxes all;
  life first(all, road::direct, first_born, 500'000);
  live_once(all, first);
  all.pass(milliseconds(8'000));
  all.elect(1);
  life second(all, road::direct, second_born, 2'000);
  LONGS_EQUAL(0, second.call().last_end());
  second.call_for(soon);
  LONGS_EQUAL(1, second.runs_of(2));
  second.end_all();
  second.call_for(soon);
  LONGS_EQUAL(fleet::job_succeeded, phase_of(all, 2));
}

// Held up by a cut, it arrives after the new life has called: it must neither
// stand for the new life's rows and ends, nor bring the earlier one back.
TEST(restarted_worker, held_up_heartbeat_of_the_earlier_life_changes_nothing) {
  for (const row& it : rows) {
    boxes all;
    life first(all, it.calls_by, first_born, 500'000);
    live_once(all, first);
    fleet::worker_beat held_up = first.beat();
    held_up.set_sequence(held_up.sequence() + 1);
    fleet::run_end& end = *held_up.add_ended();
    end.set_number(40);
    *end.mutable_task() = held_up.running(0).task();
    end.set_run(1);
    end.set_outcome(fleet::run_failed);
    if (it.leader_changes) all.elect(1);
    life second(all, it.calls_by, second_born, it.clock_ms);
    second.call_for(soon);
    LONGS_EQUAL_TEXT(2, second.beat().running_size(), it.name);
    LONGS_EQUAL_TEXT(0, second.send(held_up).orders().hold_ms(), it.name);
    const fleet::worker_orders next = second.call();
    CHECK_TRUE_TEXT(next.hold_ms() > 0, it.name);
    LONGS_EQUAL_TEXT(0, next.stops_size(), it.name);
    LONGS_EQUAL_TEXT(0, next.last_end(), it.name);
    LONGS_EQUAL_TEXT(calls_soon, second.call_for(soon), it.name);
    LONGS_EQUAL_TEXT(2, second.beat().running_size(), it.name);
  }
}

// Both lives are at their third call: the answer to one is none to the other.
TEST(restarted_worker, answer_to_the_earlier_life_goes_to_no_later_one) {
  boxes all;
  metrics_registry metrics;
  heartbeat_intake intake({}, all.clock, metrics);
  fleet::worker_beat beat;
  beat.set_worker(id);
  beat.set_sequence(3);
  beat.set_born(first_born);
  fleet::fleet_response to_first;
  intake.take(beat, [&](fleet::fleet_response it) { to_first = it; });
  fleet::beat_answers answers;
  all.leader().take_heartbeats(intake.collect("0"), [&](fleet::beat_answer it) {
    *answers.add_answers() = std::move(it);
  });
  all.commit();
  all.pass(milliseconds(700));
  LONGS_EQUAL(1, answers.answers_size());
  beat.set_born(second_born);
  int asked = 0;
  intake.take(beat, [&](fleet::fleet_response) { ++asked; });
  intake.handle_answers(answers);
  LONGS_EQUAL(0, asked);
}

// Its time of day was set back between the two starts.
TEST(restarted_worker, life_with_an_earlier_birth_is_taken_in_where_it_lives) {
  for (const row& it : rows) {
    boxes all;
    life first(all, it.calls_by, first_born, 500'000);
    live_once(all, first);
    if (it.leader_changes) all.elect(1);
    all.pass(milliseconds(600));
    life second(all, it.calls_by, first_born - 5'000, it.clock_ms);
    second.call_for(milliseconds(5'000));
    LONGS_EQUAL_TEXT(1, second.runs_of(2), it.name);
    LONGS_EQUAL_TEXT(1, second.runs_of(3), it.name);
  }
}

TEST(restarted_worker, life_is_named_by_worker_and_birth) {
  struct named {
    const char* name;
    uint64_t born;
    const char* life;
  };
  const named table[] = {
      {"i-1", 0, "i-1"},
      {"i-1", 5, "i-1#5"},
      {"", 5, "#5"},
      {"i-1", 1'768'000'001'918, "i-1#1768000001918"},
  };
  for (const named& it : table) {
    const worker_id life = incarnation_of(it.name, it.born);
    STRCMP_EQUAL(it.life, life.str().c_str());
    STRCMP_EQUAL(it.name, worker_name_of(life).c_str());
    CHECK_TRUE_TEXT(it.born == start_time_of(life), it.life);
  }
}

TEST(restarted_worker, many_times_in_series) {
  for (const row& it : rows) {
    boxes all;
    life first(all, it.calls_by, first_born, 500'000);
    live_once(all, first);
    for (uint64_t n = 1; n <= 5; ++n) {
      if (it.leader_changes) all.elect(n % 2);
      life next(all, it.calls_by, first_born + n * 2'000,
                it.clock_ms + static_cast<int64_t>(n % 2) * 700'000);
      next.call_for(soon);
      LONGS_EQUAL_TEXT(1, next.runs_of(2), it.name);
      LONGS_EQUAL_TEXT(n + 1, next.beat().running(0).run(), it.name);
    }
  }
}

// A new leader took a living life for one that was over, read its good end,
// left it out, and started the task again when that life was over.
TEST(restarted_worker, good_end_of_a_life_in_doubt_counts) {
  for (const row& it : rows) {
    boxes all;
    // The clock was set back between the two lives.
    life first(all, it.calls_by, second_born, 500'000);
    live_once(all, first);
    life second(all, it.calls_by, first_born, it.clock_ms);
    second.call_for(milliseconds(1'000));
    submit(all, 4, 1);
    second.call_for(milliseconds(200));
    LONGS_EQUAL_TEXT(1, second.runs_of(4), it.name);
    second.end_all();
    all.elect(1);
    LONGS_EQUAL_TEXT(0, second.call().hold_ms(), it.name);
    life third(all, it.calls_by, second_born + 60'000, 1'000);
    third.call_for(3 * soon);
    LONGS_EQUAL_TEXT(0, third.runs_of(4), it.name);
    LONGS_EQUAL_TEXT(fleet::job_succeeded, phase_of(all, 4), it.name);
  }
}

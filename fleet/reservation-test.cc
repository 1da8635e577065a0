// Reservations for long-running tasks: which tasks they block and which runs
// are evicted.
#include <CppUTest/TestHarness.h>

#include <string>

#include "fleet/reservation-test-world.h"

using namespace kestrelreel;

TEST_GROUP(capacity_reservations){};

// Guards against evictions for a job that is not due yet: its wait was counted
// from acceptance, and only dependencies were checked, not the start time.
TEST(capacity_reservations, wait_begins_when_the_task_is_due) {
  reservation_world world;
  world.occupy("a", false, short_job, make_batch(true));
  LONGS_EQUAL(2, world.running(short_job));
  constexpr milliseconds ahead{10'000};
  world.submit_scheduled(ahead, 2, long_running_job, make_large());
  world.run_for(ahead + milliseconds(2'600));
  LONGS_EQUAL(0, world.stops);
  // The second repetition is due 2 s after the first.
  for (int i = 1; i <= 2; ++i) {
    world.run_for(milliseconds(2'000));
    LONGS_EQUAL(i, world.stops);
    LONGS_EQUAL(i, world.running(long_running_job));
  }
}

TEST(capacity_reservations, long_running_job_goes_first_by_its_wait_since_due) {
  reservation_world world;
  world.occupy("a", false, short_job, make_short(1, 4'000, 1'000));
  constexpr milliseconds ahead{10'000};
  world.submit_scheduled(ahead, 1, long_running_job,
                         make_long_running(1, 4'000));
  world.run_for(ahead + milliseconds(600));
  world.submit_to(false, other_job, make_short(1, 4'000, 1'000));
  world.run_for(step_time);
  world.end("a", to_ref({job_number(short_job), 0, 0, 0}), 1, fleet::run_done);
  world.run_for(milliseconds(400));
  LONGS_EQUAL(1, world.running(other_job));
  LONGS_EQUAL(0, world.running(long_running_job));
}

// Guards against reservations that block more urgent short tasks, and against
// reservations on capacity that a run with 20 s left does not free within their
// lifetime of 3 s.
TEST(capacity_reservations,
     reservation_blocks_no_more_urgent_task_and_is_free_in_time) {
  struct row {
    const char* name;
    bool low_reservation;
    bool low_task;
    uint64_t takes_ms;
    size_t reservations;
    size_t starts;
  };
  const row rows[] = {{"as urgent", false, false, 2'000, 1, 0},
                      {"both less urgent", true, true, 2'000, 1, 0},
                      {"less urgent task", false, true, 2'000, 1, 0},
                      {"more urgent task", true, false, 2'000, 1, 1},
                      {"free too late", false, false, 20'000, 0, 1}};
  for (const row& it : rows) {
    reservation_world world;
    world.occupy("a", false, short_job, make_short(1, 3'000, it.takes_ms));
    world.submit_to(it.low_reservation, long_running_job,
                    make_long_running(1, 2'000));
    world.run_for(until_reserved);
    LONGS_EQUAL_TEXT(it.reservations, world.reservations(long_running_job),
                     it.name);
    world.submit_to(it.low_task, other_job, make_short(1, 1'000, 1'000));
    world.run_for(milliseconds(400));
    LONGS_EQUAL_TEXT(it.starts, world.running(other_job), it.name);
  }
}

// Guards against small tasks of a less urgent queue taking all reservations:
// these counted against the urgent task and used up the limit.
TEST(capacity_reservations, most_urgent_task_gets_a_reservation_first) {
  for (const bool low_first : {false, true}) {
    reservation_world world;
    world.occupy("a", false, short_job, make_short(4, 1'000, 2'000));
    const fleet::step_spec small = make_long_running(2, 1'000);
    if (low_first) {
      world.submit_to(true, long_running_job, small);
      world.run_for(until_reserved);
      LONGS_EQUAL(1, world.reservations(long_running_job));
    }
    world.submit_to(false, other_job, make_long_running(1, 4'000));
    if (!low_first) world.submit_to(true, long_running_job, small);
    world.run_for(until_reserved);
    LONGS_EQUAL(1, world.reservations(other_job));
    // One worker allows one reservation.
    LONGS_EQUAL(0, world.reservations(long_running_job));
    for (uint32_t i = 0; i < 4; ++i) {
      world.end("a", to_ref({job_number(short_job), 0, 0, i}), 1,
                fleet::run_done);
      world.run_for(milliseconds(600));
    }
    LONGS_EQUAL(1, world.running(other_job));
    LONGS_EQUAL(0, world.running(long_running_job));
  }
}

// Guards against evicting backfill tasks of an urgent queue for a less urgent
// long-running task.
TEST(capacity_reservations, runs_are_evicted_for_tasks_urgent_enough) {
  struct row {
    const char* name;
    bool backfill;
    bool low_run;
    bool low_wait;
    int stops;
  };
  const row rows[] = {{"backfill tasks, as urgent", true, false, false, 1},
                      {"backfill tasks, less urgent", true, true, false, 1},
                      {"backfill tasks, more urgent", true, false, true, 0},
                      {"others, as urgent", false, false, false, 0},
                      {"others, both less urgent", false, true, true, 0},
                      {"others, less urgent", false, true, false, 1},
                      {"others, more urgent", false, false, true, 0}};
  for (const row& it : rows) {
    reservation_world world;
    world.occupy("a", it.low_run, short_job, make_batch(it.backfill));
    LONGS_EQUAL_TEXT(2, world.running(short_job), it.name);
    world.submit_to(it.low_wait, long_running_job, make_large());
    world.run_for(milliseconds(6'000));
    LONGS_EQUAL_TEXT(it.stops, world.stops, it.name);
    LONGS_EQUAL_TEXT(it.stops, world.running(long_running_job), it.name);
  }
}

// Guards against needless evictions: three runs were evicted where one was
// enough, as cheap runs stayed chosen after a later one freed enough alone.
TEST(capacity_reservations, no_needless_evictions) {
  reservation_world world;
  fleet::step_spec small = make_short(2, 500, 60'000);
  small.set_saves_progress(true);
  fleet::step_spec large = make_short(1, 3'000, 60'000);
  large.set_saves_progress(true);
  world.occupy("a", true, short_job, small);
  world.occupy("a", true, other_job, large);
  LONGS_EQUAL(2, world.running(short_job));
  LONGS_EQUAL(1, world.running(other_job));
  world.submit_to(false, long_running_job, make_long_running(1, 3'000));
  world.run_for(milliseconds(5'000));
  LONGS_EQUAL(1, world.stops);
  LONGS_EQUAL(2, world.running(short_job));
  LONGS_EQUAL(1, world.running(long_running_job));
}

// Guards against a fixed stop time of 0.9 s in the search, whatever the
// configured bound.
TEST(capacity_reservations, search_uses_the_configured_stop_time) {
  struct row {
    milliseconds stop;
    int stops;
  };
  const row rows[] = {{milliseconds(200), 1}, {milliseconds(5'000), 0}};
  for (const row& it : rows) {
    reservation_world world(it.stop);
    world.occupy("a", true, short_job, make_batch(true));
    world.submit_to(false, long_running_job, make_large());
    world.run_for(until_reserved);
    LONGS_EQUAL(it.stops, world.stops);
  }
}

// Guards against an interrupted task that gets no reservation because the short
// tasks' estimates exceed its lifetime: with 2 suitable workers of 283 for 3 s,
// a task waited for 10.1 s while others took the freed capacity.
TEST(capacity_reservations,
     overdue_task_gets_a_reservation_beyond_its_lifetime) {
  reservation_world world;
  world.occupy("b", false, long_running_job, make_long_running(1, 3'000));
  world.occupy("a", false, short_job, make_short(1, 4'000, 60'000));
  LONGS_EQUAL(1, world.running(long_running_job));
  world.end("b", to_ref({job_number(long_running_job), 0, 0, 0}), 1,
            fleet::run_failed);
  world.workers["b"].set_draining(true);
  world.run_for(milliseconds(4'000));
  LONGS_EQUAL(0, world.reservations(long_running_job));
  world.run_for(milliseconds(1'200));
  LONGS_EQUAL(1, world.reservations(long_running_job));
  world.run_for(milliseconds(4'000));
  LONGS_EQUAL(1, world.reservations(long_running_job));
  world.submit_to(false, other_job, make_short(2, 2'000, 60'000));
  world.end("a", to_ref({job_number(short_job), 0, 0, 0}), 1, fleet::run_done);
  world.run_for(milliseconds(400));
  LONGS_EQUAL(1, world.running(long_running_job));
}

// Guards against unbounded work: every round examined all workers again for
// each step without a reservation.
TEST(capacity_reservations, step_without_a_plan_pauses_before_the_next_try) {
  reservation_world world;
  world.occupy("a", false, short_job, make_short(1, 3'000, 60'000));
  world.submit_to(false, long_running_job, make_long_running(1, 2'000));
  world.run_for(milliseconds(3'200));
  LONGS_EQUAL(1, world.running(short_job));
  // Nearly done: the capacity is free in less than a second.
  world.workers["a"].mutable_running(0)->set_percent(99);
  world.run_for(milliseconds(400));
  LONGS_EQUAL(0, world.reservations(long_running_job));
  world.run_for(milliseconds(1'000));
  LONGS_EQUAL(1, world.reservations(long_running_job));
}

TEST(capacity_reservations, one_round_is_bounded) {
  constexpr size_t evaluations_per_round = 24;
  for (const bool low : {false, true}) {
    reservation_world world(milliseconds(200), evaluations_per_round);
    world.occupy("a", false, short_job, make_short(1, 4'000, 2'000));
    constexpr uint64_t many = 40;
    for (uint64_t i = 0; i < many; ++i) {
      fleet::step_spec step = make_long_running(1, 500);
      step.set_requires_label("nowhere");
      world.submit_to(low, other_job + i, step);
    }
    world.submit_to(false, long_running_job, make_long_running(1, 1'000));
    // The task comes after smaller ones of equal priority, of which one round
    // handles 24.
    world.run_for(milliseconds(2'800));
    world.pass(milliseconds(200));
    LONGS_EQUAL(low ? 1 : 0, world.reservations(long_running_job));
    world.pass(milliseconds(100));
    LONGS_EQUAL(1, world.reservations(long_running_job));
  }
}

// Guards against starvation: small steps without a plan used up every round,
// and a larger step with a possible reservation waited for 10 s.
TEST(capacity_reservations, each_overdue_step_has_its_turn) {
  constexpr size_t evaluations_per_round = 8;
  constexpr uint64_t many = 40;
  reservation_world world(milliseconds(200), evaluations_per_round);
  fleet::worker_beat& worker = world.workers["a"];
  world.heartbeat("a");
  worker.add_labels("first");
  world.heartbeat("a");
  for (uint64_t i = 0; i < many; ++i) {
    fleet::step_spec step = make_long_running(1, 10);
    step.set_requires_label("first");
    world.submit_to(false, other_job + i, step);
  }
  world.submit_to(false, long_running_job, make_long_running(1, 1'000));
  world.heartbeat("a");
  LONGS_EQUAL(many + 1, worker.running_size());
  world.occupy("b", false, short_job, make_short(1, 4'000, 20'000));
  LONGS_EQUAL(1, world.running(short_job));
  // All tasks are interrupted while their worker drains.
  worker.set_draining(true);
  worker.set_remaining_ms(60'000);
  const auto rows = worker.running();
  for (const fleet::running_row& it : rows) {
    world.end("a", it.task(), it.run(), fleet::run_failed);
  }
  world.run_for(milliseconds(6'000));
  LONGS_EQUAL(1, world.reservations(long_running_job));
}

// Guards against a full examination of workers that cannot fit the task even
// without their short tasks: while workers came back it took a fifth of the
// leader's time and delayed its answers and starts.
TEST(capacity_reservations, unsuitable_workers_are_not_examined_in_full) {
  struct row {
    const char* name;
    uint64_t short_cpu;
    uint64_t examined;
    size_t reservations;
  };
  // Workers have four processors. Serving tasks hold three of them, or short
  // tasks do.
  const row rows[] = {{"one can", 3'000, 1, 1}, {"none can", 0, 0, 0}};
  for (const row& it : rows) {
    reservation_world world;
    constexpr uint32_t full = 11;
    for (uint32_t i = 0; i < full; ++i)
      world.heartbeat("w" + std::to_string(i));
    world.submit_to(false, other_job, make_long_running(full, 3'000));
    world.run_for(milliseconds(400));
    LONGS_EQUAL_TEXT(full, world.running(other_job), it.name);
    if (it.short_cpu > 0) {
      world.occupy("short", false, short_job,
                   make_short(1, it.short_cpu, 2'000));
      LONGS_EQUAL_TEXT(1, world.running(short_job), it.name);
    }
    world.submit_to(false, long_running_job, make_long_running(1, 2'000));
    world.run_for(until_reserved);
    LONGS_EQUAL_TEXT(it.reservations, world.reservations(long_running_job),
                     it.name);
    LONGS_EQUAL_TEXT(it.examined,
                     world.metrics.counter("kestrelreel_room_looks_total"),
                     it.name);
  }
}

TEST(capacity_reservations, run_is_evicted_for_one_task_only) {
  reservation_world world;
  world.add_other_pool_workers(7);
  world.occupy("a", true, short_job, make_batch(true));
  fleet::step_spec small = make_long_running(1, 500);
  small.set_memory_mb(140);
  world.submit_to(true, other_job, small);
  world.submit_to(false, long_running_job, make_large());
  world.run_for(until_reserved);
  LONGS_EQUAL(1, world.running(long_running_job));
  LONGS_EQUAL(1, world.running(other_job));
  LONGS_EQUAL(1, world.metrics.counter("kestrelreel_evictions_total",
                                       {{"cause", "lasting"}}));
}

TEST(capacity_reservations, reservations_count_as_taken_for_other_steps) {
  reservation_world world;
  world.add_other_pool_workers(7);
  world.occupy("a", false, short_job, make_short(4, 1'000, 2'000));
  world.submit_to(false, long_running_job, make_long_running(1, 3'000));
  world.submit_to(false, other_job, make_long_running(1, 3'000));
  world.run_for(until_reserved);
  LONGS_EQUAL(
      1, world.reservations(long_running_job) + world.reservations(other_job));
}

TEST(capacity_reservations,
     reservations_are_limited_to_a_share_of_the_workers) {
  struct row {
    int workers;
    size_t reservations;
  };
  const row rows[] = {{1, 1}, {4, 1}, {8, 2}, {12, 3}};
  for (const row& it : rows) {
    reservation_world world;
    for (int i = 0; i < it.workers; ++i) world.beat("w" + std::to_string(i));
    const auto n = static_cast<uint32_t>(it.workers);
    world.submit_to(false, short_job, make_short(n, 4'000, 2'000));
    world.run_for(milliseconds(400));
    LONGS_EQUAL(n, world.running(short_job));
    world.submit_to(false, long_running_job, make_long_running(n, 4'000));
    world.run_for(until_reserved);
    LONGS_EQUAL(it.reservations, world.reservations(long_running_job));
  }
}

TEST(capacity_reservations, reservations_expire) {
  reservation_world world;
  world.occupy("a", false, short_job, make_short(1, 3'000, 2'000));
  world.submit_to(false, long_running_job, make_long_running(1, 2'000));
  milliseconds waited{0};
  for (;
       waited < until_reserved && world.reservations(long_running_job) == 0;) {
    world.run_for(step_time);
    waited += step_time;
  }
  LONGS_EQUAL(1, world.reservations(long_running_job));
  LONGS_EQUAL(1, world.running(short_job));
  // At its pace the run takes 30 s or more: no new reservation is made.
  world.workers["a"].mutable_running(0)->set_percent(10);
  world.run_for(milliseconds(2'600));
  LONGS_EQUAL(1, world.reservations(long_running_job));
  world.run_for(milliseconds(800));
  LONGS_EQUAL(0, world.reservations(long_running_job));
}

TEST(capacity_reservations, reservations_on_unusable_workers_are_dropped) {
  reservation_world world;
  world.occupy("a", false, short_job, make_short(1, 3'000, 2'000));
  world.submit_to(false, long_running_job, make_long_running(1, 2'000));
  world.run_for(until_reserved);
  LONGS_EQUAL(1, world.reservations(long_running_job));
  world.workers["a"].set_draining(true);
  world.workers["a"].set_remaining_ms(60'000);
  world.run_for(milliseconds(400));
  LONGS_EQUAL(0, world.reservations(long_running_job));
}

TEST(capacity_reservations, reservations_count_for_anti_affinity) {
  for (const uint32_t most : {1U, 0U}) {
    reservation_world world;
    world.add_other_pool_workers(7);
    world.occupy("a", false, short_job, make_short(4, 1'000, 2'000));
    fleet::step_spec step = make_long_running(2, 2'000);
    step.set_anti_affinity(most);
    world.submit_to(false, long_running_job, step);
    world.run_for(until_reserved);
    LONGS_EQUAL(most == 0 ? 2 : 1, world.reservations(long_running_job));
  }
}

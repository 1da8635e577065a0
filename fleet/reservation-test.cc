// Rooms kept for lasting tasks that wait: whom they bar, what gives way.
#include <CppUTest/TestHarness.h>

#include <string>

#include "fleet/reservation-test-world.h"

using namespace kestrelreel;

TEST_GROUP(capacity_reservations){};

// Both fill tasks of a worker were stopped for a lasting job that was not due
// yet: the wait was counted from the job's coming, and what looked for waits
// asked for the steps' dependencies, not for the time.
TEST(capacity_reservations, wait_begins_when_the_task_is_due) {
  reservation_world world;
  world.occupy("a", false, short_job, make_batch(true));
  LONGS_EQUAL(2, world.running(short_job));
  constexpr milliseconds ahead{10'000};
  world.submit_scheduled(ahead, 2, long_running_job, make_large());
  world.run_for(ahead + milliseconds(2'600));
  LONGS_EQUAL(0, world.stops);
  // The second time is due 2 s after the first.
  for (int i = 1; i <= 2; ++i) {
    world.run_for(milliseconds(2'000));
    LONGS_EQUAL(i, world.stops);
    LONGS_EQUAL(i, world.running(long_running_job));
  }
}

TEST(capacity_reservations,
     lasting_job_goes_before_short_ones_by_its_wait_since_due) {
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

// Urgent short tasks lay beside free processors that were kept for a less
// urgent lasting task; and processors were kept for tasks that could not have
// them within the 3 s that a room is kept, by a run with 20 s to go.
TEST(capacity_reservations,
     room_bars_no_more_urgent_task_and_comes_free_while_kept) {
  struct row {
    const char* name;
    bool low_room;
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
    world.submit_to(it.low_room, long_running_job, make_long_running(1, 2'000));
    world.run_for(until_reserved);
    LONGS_EQUAL_TEXT(it.reservations, world.reservations(long_running_job),
                     it.name);
    world.submit_to(it.low_task, other_job, make_short(1, 1'000, 1'000));
    world.run_for(milliseconds(400));
    LONGS_EQUAL_TEXT(it.starts, world.running(other_job), it.name);
  }
}

// Room went to small lasting tasks of a less urgent queue first. The one that
// was urgent got none: the others' rooms counted against it, and there were as
// many as may be kept.
TEST(capacity_reservations, the_most_urgent_wait_gets_room_first) {
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
    // No more rooms than one worker may keep.
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

// Fill tasks of an urgent queue were stopped for a less urgent lasting task.
TEST(capacity_reservations, runs_give_way_to_what_is_urgent_enough) {
  struct row {
    const char* name;
    bool fills;
    bool low_run;
    bool low_wait;
    int stops;
  };
  const row rows[] = {{"fill tasks, as urgent", true, false, false, 1},
                      {"fill tasks, less urgent", true, true, false, 1},
                      {"fill tasks, more urgent", true, false, true, 0},
                      {"others, as urgent", false, false, false, 0},
                      {"others, both less urgent", false, true, true, 0},
                      {"others, less urgent", false, true, false, 1},
                      {"others, more urgent", false, false, true, 0}};
  for (const row& it : rows) {
    reservation_world world;
    world.occupy("a", it.low_run, short_job, make_batch(it.fills));
    LONGS_EQUAL_TEXT(2, world.running(short_job), it.name);
    world.submit_to(it.low_wait, long_running_job, make_large());
    world.run_for(milliseconds(6'000));
    LONGS_EQUAL_TEXT(it.stops, world.stops, it.name);
    LONGS_EQUAL_TEXT(it.stops, world.running(long_running_job), it.name);
  }
}

// Three runs were stopped where one of them would have done: those that cost
// least were taken first, and kept when a later one made the room by itself.
TEST(capacity_reservations, no_more_is_stopped_than_needed) {
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

// How long a stop takes was fixed at 0.9 s where room is looked for, whatever
// the users' bound.
TEST(capacity_reservations, a_stop_takes_as_long_as_is_set) {
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

// A step for which no room could be made was looked for at all workers again
// with each look, as was each other such step: the work had no bound.
// Of 283 workers two would have had room without their short tasks, for 3 s,
// and an interrupted task waited for 10.1 s: by their estimates the short tasks
// were to take longer than a room is kept, so that none was, and others took
// what they left.
TEST(capacity_reservations,
     task_that_waited_long_gets_room_however_long_it_may_take) {
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

TEST(capacity_reservations,
     a_step_without_an_opening_is_left_alone_for_a_while) {
  reservation_world world;
  world.occupy("a", false, short_job, make_short(1, 3'000, 60'000));
  world.submit_to(false, long_running_job, make_long_running(1, 2'000));
  world.run_for(milliseconds(3'200));
  LONGS_EQUAL(1, world.running(short_job));
  // As good as done: room comes free in less than a second.
  world.workers["a"].mutable_running(0)->set_percent(99);
  world.run_for(milliseconds(400));
  LONGS_EQUAL(0, world.reservations(long_running_job));
  world.run_for(milliseconds(1'000));
  LONGS_EQUAL(1, world.reservations(long_running_job));
}

TEST(capacity_reservations, one_look_does_not_go_through_all_that_wait) {
  constexpr size_t at_a_time = 24;
  for (const bool low : {false, true}) {
    reservation_world world(milliseconds(200), at_a_time);
    world.occupy("a", false, short_job, make_short(1, 4'000, 2'000));
    constexpr uint64_t many = 40;
    for (uint64_t i = 0; i < many; ++i) {
      fleet::step_spec step = make_long_running(1, 500);
      step.set_requires_label("nowhere");
      world.submit_to(low, other_job + i, step);
    }
    world.submit_to(false, long_running_job, make_long_running(1, 1'000));
    // It comes after the smaller ones that are as urgent, of which one look
    // takes 24.
    world.run_for(milliseconds(2'800));
    world.pass(milliseconds(200));
    LONGS_EQUAL(low ? 1 : 0, world.reservations(long_running_job));
    world.pass(milliseconds(100));
    LONGS_EQUAL(1, world.reservations(long_running_job));
  }
}

// What a run that is stopped for an urgent task leaves over is enough.
// Small steps for which there is no room, looked at first at each look, left
// none to a larger one for which room could be made: it waited for 10 s.
TEST(capacity_reservations, each_wait_has_its_turn_however_many_press) {
  constexpr size_t at_a_time = 8;
  constexpr uint64_t many = 40;
  reservation_world world(milliseconds(200), at_a_time);
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
  // All are interrupted while their worker drains.
  worker.set_draining(true);
  worker.set_remaining_ms(60'000);
  const auto rows = worker.running();
  for (const fleet::running_row& it : rows) {
    world.end("a", it.task(), it.run(), fleet::run_failed);
  }
  world.run_for(milliseconds(6'000));
  LONGS_EQUAL(1, world.reservations(long_running_job));
}

// Where hardly a worker had room even without its short tasks, each of them was
// looked at in full for each task that waited: a fifth of a leader's second
// while workers came back, its answers late and what they started with them.
TEST(capacity_reservations, workers_that_cannot_make_room_cost_no_full_look) {
  struct row {
    const char* name;
    uint64_t short_cpu;
    uint64_t looks;
    size_t reservations;
  };
  // A worker of four processors: three it serves with, or short tasks have
  // them.
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
    LONGS_EQUAL_TEXT(it.looks,
                     world.metrics.counter("kestrelreel_room_looks_total"),
                     it.name);
  }
}

TEST(capacity_reservations, a_run_is_stopped_for_one_task_only) {
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

TEST(capacity_reservations, rooms_count_in_what_another_step_lacks) {
  reservation_world world;
  world.add_other_pool_workers(7);
  world.occupy("a", false, short_job, make_short(4, 1'000, 2'000));
  world.submit_to(false, long_running_job, make_long_running(1, 3'000));
  world.submit_to(false, other_job, make_long_running(1, 3'000));
  world.run_for(until_reserved);
  LONGS_EQUAL(
      1, world.reservations(long_running_job) + world.reservations(other_job));
}

TEST(capacity_reservations, no_more_rooms_than_a_share_of_the_workers) {
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

TEST(capacity_reservations, rooms_expire) {
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
  // By its pace the run takes 30 s and more: no room is kept anew.
  world.workers["a"].mutable_running(0)->set_percent(10);
  world.run_for(milliseconds(2'600));
  LONGS_EQUAL(1, world.reservations(long_running_job));
  world.run_for(milliseconds(800));
  LONGS_EQUAL(0, world.reservations(long_running_job));
}

TEST(capacity_reservations, rooms_are_dropped_where_no_work_may_start) {
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

TEST(capacity_reservations, rooms_count_among_the_tasks_of_a_step_at_a_worker) {
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

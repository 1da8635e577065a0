// Rooms kept for lasting tasks that wait: whom they bar, what gives way.
#include <CppUTest/TestHarness.h>

#include <string>
#include <utility>
#include <vector>

#include "fleet/fleet-test-world.h"

using namespace kestrelreel;

namespace {

constexpr uint64_t short_job = 1;
constexpr uint64_t lasting_job = 2;
constexpr uint64_t other_job = 3;
constexpr milliseconds step_time{200};
/// Tasks that never began wait for 3 s before room is kept.
constexpr milliseconds until_kept{4'000};

/// Two queues, and workers that end at once what they are told to stop.
class rooms_world : public test_world {
 public:
  explicit rooms_world(milliseconds stop = milliseconds(200))
      : test_world(make_timed(this, stop)) {
    fleet::fleet_config config = make_config(1);
    fleet::queue_route low = config.queues(0);
    low.set_name("low");
    low.set_path_prefix("/low/");
    low.set_priority(2);
    *config.add_queues() = low;
    fleet::fleet_request request;
    *request.mutable_put_config() = config;
    ask(request);
  }

  void submit_to(bool low, uint64_t job, const fleet::step_spec& step) {
    fleet::fleet_request request = make_submit(job, {step});
    if (low) {
      request.mutable_job()->set_path("/low/" + to_text(job_number(job)));
    }
    ask(request);
  }

  /// They count among the workers, but carry nothing of the queues' pool.
  void add_elsewhere(int n) {
    for (int i = 0; i < n; ++i) {
      const std::string name = "other" + std::to_string(i);
      workers[name].set_worker(name);
      workers[name].set_pool("elsewhere");
      beat(name);
    }
  }

  void call(const std::string& name) {
    const fleet::worker_orders orders = beat(name);
    for (const fleet::stop_order& it : orders.stops()) {
      ++stops;
      end(name, it.task(), it.run(), fleet::run_stopped, "saved");
    }
  }

  void go(milliseconds n) {
    for (milliseconds at{0}; at < n; at += step_time) {
      pass(step_time);
      for (const auto& entry : workers) call(entry.first);
    }
  }

  /// The worker gets those tasks and works on them.
  void occupy(const std::string& name, bool low, uint64_t job,
              const fleet::step_spec& step) {
    call(name);
    submit_to(low, job, step);
    call(name);
    call(name);
  }

  size_t rooms(uint64_t job) {
    size_t n = 0;
    for (const auto& [id, it] : controller.workers().views()) {
      for (const kept_room& room : it.kept) {
        n += room.step.job == job_number(job) ? 1U : 0U;
      }
    }
    return n;
  }

  size_t running(uint64_t job) {
    size_t n = 0;
    for (const auto& [name, it] : workers) {
      for (const fleet::running_row& row : it.running()) {
        n += row.task().job() == job ? 1U : 0U;
      }
    }
    return n;
  }

  int stops = 0;

 private:
  /// The time of day goes on with the virtual clock.
  static controller_settings make_timed(rooms_world* it, milliseconds stop) {
    controller_settings settings = make_settings();
    settings.worker_stop = stop;
    settings.wall_clock_ms = [it] {
      return static_cast<uint64_t>(it->clock.now().count());
    };
    return settings;
  }
};

/// Short tasks that go on, and still take so long by all that is known.
fleet::step_spec make_short(uint32_t count, uint64_t cpu, uint64_t ms) {
  fleet::step_spec step = test_world::make_step(count, cpu);
  step.set_memory_mb(10);
  step.set_estimate_ms(ms);
  return step;
}

fleet::step_spec make_lasting(uint32_t count, uint64_t cpu) {
  fleet::step_spec step = test_world::make_step(count, cpu);
  step.set_memory_mb(10);
  step.set_long_running(true);
  return step;
}

/// Two tasks that leave too little memory for `make_large`, and that lose
/// little by a stop.
fleet::step_spec make_batch(bool fills) {
  fleet::step_spec step = test_world::make_step(2, 500);
  step.set_memory_mb(450);
  step.set_fills(fills);
  step.set_saves_progress(true);
  step.set_estimate_ms(60'000);
  return step;
}

fleet::step_spec make_large() {
  fleet::step_spec step = make_lasting(1, 1'000);
  step.set_memory_mb(400);
  return step;
}

}  // namespace

TEST_GROUP(kept_rooms){};

// Fill tasks were stopped again and again for a lasting job that was due ten
// minutes later: the wait was counted from the job's coming, and what looked
// for waits asked for the steps' dependencies, not for the time.
TEST(kept_rooms, wait_begins_when_the_task_is_due) {
  rooms_world world;
  world.occupy("a", false, short_job, make_batch(true));
  LONGS_EQUAL(2, world.running(short_job));
  fleet::fleet_request request =
      test_world::make_submit(lasting_job, {make_large()});
  fleet::fleet_job_spec& spec = *request.mutable_job()->mutable_submit();
  spec.set_times(1);
  spec.set_interval_ms(1'000);
  constexpr milliseconds ahead{10'000};
  spec.set_start_ms(static_cast<uint64_t>((world.clock.now() + ahead).count()));
  world.ask(request);
  world.go(ahead + milliseconds(2'600));
  LONGS_EQUAL(0, world.stops);
  world.go(milliseconds(2'000));
  LONGS_EQUAL(1, world.stops);
  LONGS_EQUAL(1, world.running(lasting_job));
}

// Urgent short tasks lay beside free processors that were kept for a less
// urgent lasting task; and processors were kept for tasks that could not have
// them within the 3 s that a room is kept, by a run with 20 s to go.
TEST(kept_rooms, room_bars_no_more_urgent_task_and_comes_free_while_kept) {
  struct row {
    const char* name;
    bool low_room;
    bool low_task;
    uint64_t takes_ms;
    size_t rooms;
    size_t starts;
  };
  const row rows[] = {{"as urgent", false, false, 2'000, 1, 0},
                      {"both less urgent", true, true, 2'000, 1, 0},
                      {"less urgent task", false, true, 2'000, 1, 0},
                      {"more urgent task", true, false, 2'000, 1, 1},
                      {"free too late", false, false, 20'000, 0, 1}};
  for (const row& it : rows) {
    rooms_world world;
    world.occupy("a", false, short_job, make_short(1, 3'000, it.takes_ms));
    world.submit_to(it.low_room, lasting_job, make_lasting(1, 2'000));
    world.go(until_kept);
    LONGS_EQUAL_TEXT(it.rooms, world.rooms(lasting_job), it.name);
    world.submit_to(it.low_task, other_job, make_short(1, 1'000, 1'000));
    world.go(milliseconds(400));
    LONGS_EQUAL_TEXT(it.starts, world.running(other_job), it.name);
  }
}

// Room went to small lasting tasks of a less urgent queue first. The one that
// was urgent got none: the others' rooms counted against it, and there were as
// many as may be kept.
TEST(kept_rooms, the_most_urgent_wait_gets_room_first) {
  for (const bool low_first : {false, true}) {
    rooms_world world;
    world.occupy("a", false, short_job, make_short(4, 1'000, 2'000));
    const fleet::step_spec small = make_lasting(2, 1'000);
    if (low_first) {
      world.submit_to(true, lasting_job, small);
      world.go(until_kept);
      LONGS_EQUAL(1, world.rooms(lasting_job));
    }
    world.submit_to(false, other_job, make_lasting(1, 2'000));
    if (!low_first) world.submit_to(true, lasting_job, small);
    world.go(until_kept);
    LONGS_EQUAL(1, world.rooms(other_job));
    // No more rooms than one worker may keep.
    LONGS_EQUAL(0, world.rooms(lasting_job));
    for (uint32_t i = 0; i < 2; ++i) {
      world.end("a", to_ref({job_number(short_job), 0, 0, i}), 1,
                fleet::run_done);
      world.go(milliseconds(600));
    }
    LONGS_EQUAL(1, world.running(other_job));
    LONGS_EQUAL(0, world.running(lasting_job));
  }
}

// Fill tasks of an urgent queue were stopped for a less urgent lasting task.
TEST(kept_rooms, runs_give_way_to_what_is_urgent_enough) {
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
    rooms_world world;
    world.occupy("a", it.low_run, short_job, make_batch(it.fills));
    LONGS_EQUAL_TEXT(2, world.running(short_job), it.name);
    world.submit_to(it.low_wait, lasting_job, make_large());
    world.go(milliseconds(6'000));
    LONGS_EQUAL_TEXT(it.stops, world.stops, it.name);
    LONGS_EQUAL_TEXT(it.stops, world.running(lasting_job), it.name);
  }
}

// Three runs were stopped where one of them would have done: those that cost
// least were taken first, and kept when a later one made the room by itself.
TEST(kept_rooms, no_more_is_stopped_than_needed) {
  rooms_world world;
  fleet::step_spec small = make_short(2, 500, 60'000);
  small.set_saves_progress(true);
  fleet::step_spec large = make_short(1, 3'000, 60'000);
  large.set_saves_progress(true);
  world.occupy("a", true, short_job, small);
  world.occupy("a", true, other_job, large);
  LONGS_EQUAL(2, world.running(short_job));
  LONGS_EQUAL(1, world.running(other_job));
  world.submit_to(false, lasting_job, make_lasting(1, 3'000));
  world.go(milliseconds(5'000));
  LONGS_EQUAL(1, world.stops);
  LONGS_EQUAL(2, world.running(short_job));
  LONGS_EQUAL(1, world.running(lasting_job));
}

// How long a stop takes was fixed at 0.9 s where room is looked for, whatever
// the users' bound.
TEST(kept_rooms, a_stop_takes_as_long_as_is_set) {
  struct row {
    milliseconds stop;
    int stops;
  };
  const row rows[] = {{milliseconds(200), 1}, {milliseconds(5'000), 0}};
  for (const row& it : rows) {
    rooms_world world(it.stop);
    world.occupy("a", true, short_job, make_batch(true));
    world.submit_to(false, lasting_job, make_large());
    world.go(until_kept);
    LONGS_EQUAL(it.stops, world.stops);
  }
}

// A step for which no room could be made was looked for at all workers again
// with each look, as was each other such step: the work had no bound.
TEST(kept_rooms, a_step_without_an_opening_is_left_alone_for_a_while) {
  rooms_world world;
  world.occupy("a", false, short_job, make_short(1, 3'000, 60'000));
  world.submit_to(false, lasting_job, make_lasting(1, 2'000));
  world.go(milliseconds(3'200));
  // As good as done: room comes free in less than a second.
  world.workers["a"].mutable_running(0)->set_percent(99);
  world.go(milliseconds(400));
  LONGS_EQUAL(0, world.rooms(lasting_job));
  world.go(milliseconds(1'000));
  LONGS_EQUAL(1, world.rooms(lasting_job));
}

TEST(kept_rooms, one_look_does_not_go_through_all_that_wait) {
  rooms_world world;
  world.occupy("a", false, short_job, make_short(1, 4'000, 2'000));
  constexpr uint64_t many = 40;
  for (uint64_t i = 0; i < many; ++i) {
    fleet::step_spec step = make_lasting(1, 500);
    step.set_requires_label("nowhere");
    world.submit_to(false, other_job + i, step);
  }
  world.submit_to(false, lasting_job, make_lasting(1, 1'000));
  // It comes after the smaller ones, of which one look takes 24.
  world.go(milliseconds(2'800));
  world.pass(milliseconds(200));
  LONGS_EQUAL(0, world.rooms(lasting_job));
  world.pass(milliseconds(100));
  LONGS_EQUAL(1, world.rooms(lasting_job));
}

TEST(kept_rooms, rooms_count_in_what_another_step_lacks) {
  rooms_world world;
  world.add_elsewhere(7);
  world.occupy("a", false, short_job, make_short(4, 1'000, 2'000));
  world.submit_to(false, lasting_job, make_lasting(1, 3'000));
  world.submit_to(false, other_job, make_lasting(1, 3'000));
  world.go(until_kept);
  LONGS_EQUAL(1, world.rooms(lasting_job) + world.rooms(other_job));
}

TEST(kept_rooms, no_more_rooms_than_a_share_of_the_workers) {
  struct row {
    int workers;
    size_t rooms;
  };
  const row rows[] = {{1, 1}, {4, 1}, {8, 2}, {12, 3}};
  for (const row& it : rows) {
    rooms_world world;
    for (int i = 0; i < it.workers; ++i) world.beat("w" + std::to_string(i));
    const auto n = static_cast<uint32_t>(it.workers);
    world.submit_to(false, short_job, make_short(n, 4'000, 2'000));
    world.go(milliseconds(400));
    LONGS_EQUAL(n, world.running(short_job));
    world.submit_to(false, lasting_job, make_lasting(n, 4'000));
    world.go(until_kept);
    LONGS_EQUAL(it.rooms, world.rooms(lasting_job));
  }
}

TEST(kept_rooms, rooms_expire) {
  rooms_world world;
  world.occupy("a", false, short_job, make_short(1, 3'000, 2'000));
  world.submit_to(false, lasting_job, make_lasting(1, 2'000));
  milliseconds waited{0};
  for (; waited < until_kept && world.rooms(lasting_job) == 0;) {
    world.go(step_time);
    waited += step_time;
  }
  LONGS_EQUAL(1, world.rooms(lasting_job));
  // By its pace the run takes 30 s and more: no room is kept anew.
  world.workers["a"].mutable_running(0)->set_percent(10);
  world.go(milliseconds(2'600));
  LONGS_EQUAL(1, world.rooms(lasting_job));
  world.go(milliseconds(800));
  LONGS_EQUAL(0, world.rooms(lasting_job));
}

TEST(kept_rooms, rooms_are_dropped_where_no_work_may_start) {
  rooms_world world;
  world.occupy("a", false, short_job, make_short(1, 3'000, 2'000));
  world.submit_to(false, lasting_job, make_lasting(1, 2'000));
  world.go(until_kept);
  LONGS_EQUAL(1, world.rooms(lasting_job));
  world.workers["a"].set_draining(true);
  world.workers["a"].set_remaining_ms(60'000);
  world.go(milliseconds(400));
  LONGS_EQUAL(0, world.rooms(lasting_job));
}

TEST(kept_rooms, rooms_count_among_the_tasks_of_a_step_at_a_worker) {
  for (const uint32_t most : {1U, 0U}) {
    rooms_world world;
    world.add_elsewhere(7);
    world.occupy("a", false, short_job, make_short(4, 1'000, 2'000));
    fleet::step_spec step = make_lasting(2, 2'000);
    step.set_anti_affinity(most);
    world.submit_to(false, lasting_job, step);
    world.go(until_kept);
    LONGS_EQUAL(most == 0 ? 2 : 1, world.rooms(lasting_job));
  }
}

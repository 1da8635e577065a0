// Evacuated data centres: no start goes there in any way, running tasks
// continue, and the order survives leader changes.
#include <CppUTest/TestHarness.h>

#include "fleet/evacuation-test-world.h"

using namespace kestrelreel;

TEST_GROUP(evacuation) { evacuation_world world; };

TEST(evacuation, no_start_reaches_an_evacuated_data_centre) {
  for (const start_stage_row& it : start_stages) {
    evacuation_world fresh;
    bring_to_stage(fresh, it.stage);
    fresh.evacuate();
    trigger_start(fresh, it.stage);
    for (int i = 0; i < 20; ++i) {
      fresh.pass(step_time);
      fresh.call_all('n');
    }
    LONGS_EQUAL_TEXT(0, fresh.runs_in('n'), it.name);
    // The start waits for the end of the evacuation or for capacity elsewhere.
    fresh.call_all('s');
    fresh.run_for(milliseconds(4'000));
    LONGS_EQUAL_TEXT(0, fresh.runs_in('n'), it.name);
    LONGS_EQUAL_TEXT(1, fresh.runs_in('s'), it.name);
    CHECK_FALSE_TEXT(fresh.has_duplicate_run(), it.name);
  }
}

TEST(evacuation, running_tasks_continue) {
  world.submit(short_job, {make_task(4)});
  world.submit(long_running_job, {make_long_running(4, 1'000)});
  world.call_all('n');
  world.run_for(milliseconds(1'000));
  const size_t before = world.runs_in('n');
  CHECK_TRUE(before > 0);
  world.evacuate();
  world.run_for(milliseconds(10'000));
  LONGS_EQUAL(before, world.runs_in('n'));
  LONGS_EQUAL(0, world.stops);
}

// Nothing is evicted and no capacity is reserved for tasks that cannot start
// there.
TEST(evacuation, no_capacity_is_reserved_there) {
  world.occupy("n1", true, short_job, make_batch(true));
  world.evacuate();
  world.submit_to(false, long_running_job, make_large());
  for (int i = 0; i < 40; ++i) {
    world.pass(step_time);
    world.call_all('n');
  }
  LONGS_EQUAL(0, world.stops);
  LONGS_EQUAL(0, world.reservations(long_running_job));
}

TEST(evacuation, reservations_there_are_released) {
  // Short by the estimate, but the tasks keep running.
  world.occupy("n1", false, short_job, make_short(4, 1'000, 1'000));
  world.submit_to(false, long_running_job, make_long_running(1, 1'000));
  for (int i = 0; i < 25; ++i) {
    world.pass(step_time);
    world.heartbeat("n1");
  }
  LONGS_EQUAL(1, world.reservations(long_running_job));
  world.evacuate();
  world.pass(step_time);
  LONGS_EQUAL(0, world.reservations(long_running_job));
}

TEST(evacuation, tasks_start_there_again_after_the_evacuation) {
  world.call_all('n');
  world.evacuate();
  world.submit(short_job, {make_task(2)});
  world.run_for(milliseconds(0));
  world.call_all('n');
  LONGS_EQUAL(0, world.runs_in('n'));
  world.end_evacuation();
  world.pass(step_time);
  world.call_all('n');
  world.call_all('n');
  LONGS_EQUAL(2, world.runs_in('n'));
}

// All workers are empty after the evacuation ends: cold ones get a task only
// when no other worker has capacity.
TEST(evacuation, cold_workers_are_the_last_choice) {
  struct row {
    const char* name;
    uint64_t cold_ms;
    uint32_t tasks;
    size_t on_cold;
  };
  const row rows[] = {{"cold, capacity elsewhere", 5'000, 4, 0},
                      {"cold, no capacity elsewhere", 5'000, 12, 4},
                      {"warm", 0, 4, 2}};
  for (const row& it : rows) {
    evacuation_world fresh;
    fresh.call_all('n');
    fresh.call_all('s');
    fresh.evacuate();
    fresh.workers["n1"].set_cold_left_ms(it.cold_ms);
    fresh.workers["n2"].set_cold_left_ms(it.cold_ms);
    fresh.workers.erase("s2");
    fresh.workers.erase("n2");
    fresh.controller.set_leading(false);
    fresh.controller.set_leading(true);
    fresh.call_all('n');
    fresh.call_all('s');
    fresh.end_evacuation();
    fresh.submit(short_job, {make_task(it.tasks)});
    fresh.call_all('n');
    fresh.call_all('s');
    LONGS_EQUAL_TEXT(it.on_cold, fresh.runs_in('n'), it.name);
  }
}

TEST(evacuation, repeated_orders_are_acknowledged) {
  world.call_all('n');
  struct row {
    const char* name;
    const char* data_centre;
    bool evacuate;
    fleet::fleet_status status;
    bool north;
    uint64_t version;
  };
  const row rows[] = {
      {"ended without an evacuation", "north", false, fleet::fleet_ok, false,
       0},
      {"first", "north", true, fleet::fleet_ok, true, 1},
      {"repeated", "north", true, fleet::fleet_ok, true, 1},
      {"unknown", "west", true, fleet::fleet_invalid, true, 1},
      {"unnamed", "", true, fleet::fleet_invalid, true, 1},
      {"ended", "north", false, fleet::fleet_ok, false, 2},
      {"ended again", "north", false, fleet::fleet_ok, false, 2},
      {"evacuated again", "north", true, fleet::fleet_ok, true, 3},
  };
  for (const row& it : rows) {
    LONGS_EQUAL_TEXT(it.status, world.order(it.data_centre, it.evacuate),
                     it.name);
    CHECK_TRUE_TEXT(it.north == world.evacuated().holds("north"), it.name);
    LONGS_EQUAL_TEXT(it.version, world.evacuated().version(), it.name);
  }
  CHECK_FALSE(world.evacuated().holds("west"));
}

// A data centre from which no worker has called since the leadership began is
// known from the settings.
TEST(evacuation, data_centres_are_known_from_the_settings) {
  controller_settings settings = test_world::make_settings();
  settings.data_centres = {"north"};
  test_world other(settings);
  const auto order = [&](const char* name) {
    return other.ask(evacuation_world::make_order(name, true)).status();
  };
  LONGS_EQUAL(fleet::fleet_ok, order("north"));
  LONGS_EQUAL(fleet::fleet_invalid, order("west"));
}

// An order is acknowledged only once recorded, and of several pending orders
// the last one is in force.
TEST(evacuation, acknowledged_only_once_it_is_recorded) {
  world.call_all('n');
  std::vector<fleet::fleet_status> answers;
  for (const bool evacuate : {true, false, true}) {
    world.controller.request(
        evacuation_world::make_order("north", evacuate),
        [&](const auto& it) { answers.push_back(it.status()); });
  }
  world.controller.decide();
  LONGS_EQUAL(0, answers.size());
  world.commit();
  LONGS_EQUAL(3, answers.size());
  for (const auto it : answers) LONGS_EQUAL(fleet::fleet_ok, it);
  CHECK_TRUE(world.evacuated().holds("north"));
  LONGS_EQUAL(3, world.evacuated().version());
}

TEST(evacuation, order_that_was_not_recorded_is_not_acknowledged) {
  world.call_all('n');
  world.log.refuses = true;
  LONGS_EQUAL(fleet::fleet_unavailable, world.order("north", true));
  world.log.refuses = false;
  CHECK_FALSE(world.evacuated().holds("north"));
}

TEST(evacuation, order_pending_at_a_leader_change_is_unknown) {
  world.call_all('n');
  fleet::fleet_status status = fleet::fleet_ok;
  world.controller.request(evacuation_world::make_order("north", true),
                           [&](const auto& it) { status = it.status(); });
  world.controller.decide();
  world.controller.set_leading(false);
  LONGS_EQUAL(fleet::fleet_unknown, status);
}

TEST(evacuation, order_survives_leader_changes_and_snapshots) {
  for (const bool snapshot : {false, true}) {
    evacuation_world fresh;
    fresh.call_all('n');
    fresh.evacuate();
    const uint64_t at = fresh.evacuated().in_force().at("north").ordered_at_ms;
    snapshot ? fresh.elect_from_snapshot() : fresh.elect();
    CHECK_TRUE(fresh.evacuated().holds("north"));
    LONGS_EQUAL(1, fresh.evacuated().version());
    LONGS_EQUAL(at, fresh.evacuated().in_force().at("north").ordered_at_ms);
    fresh.submit(short_job, {make_task(2)});
    for (int i = 0; i < 20; ++i) {
      fresh.pass(step_time);
      fresh.call_all('n');
    }
    LONGS_EQUAL(0, fresh.runs_in('n'));
    fresh.call_all('s');
    fresh.call_all('s');
    LONGS_EQUAL(2, fresh.runs_in('s'));
  }
}

// The previous leader recorded a start and after it the order: the next leader
// knows both and does not send the start.
TEST(evacuation,
     start_recorded_before_the_order_is_not_sent_by_the_next_leader) {
  world.heartbeat("n1");
  world.submit(tested_job, {make_task()});
  world.evacuate();
  world.elect();
  world.call_all('s');
  for (int i = 0; i < 20; ++i) {
    world.pass(step_time);
    world.call_all('n');
    world.call_all('s');
  }
  LONGS_EQUAL(0, world.runs_in('n'));
  LONGS_EQUAL(1, world.runs_in('s'));
}

// Tasks of a worker that leaves an evacuated data centre start elsewhere as
// after any other leave.
TEST(evacuation, tasks_of_a_worker_that_leaves_there_start_elsewhere) {
  world.heartbeat("n1");
  world.submit(long_running_job, {make_long_running(1, 1'000)});
  world.heartbeat("n1");
  world.heartbeat("n1");
  LONGS_EQUAL(1, world.runs_in('n'));
  world.evacuate();
  fleet::fleet_request request;
  request.set_worker_leaves("n1");
  world.ask(request);
  world.workers.erase("n1");
  world.heartbeat("n2");
  world.call_all('s');
  world.run_for(milliseconds(2'000));
  LONGS_EQUAL(0, world.runs_in('n'));
  LONGS_EQUAL(1, world.runs_in('s'));
}

// An order that lay unread at a box tells what that box knew when it may have
// been sent.
TEST(evacuation, late_order_undoes_a_later_one) {
  struct row {
    const char* name;
    bool evacuated;
    bool order;
    uint64_t known;
    fleet::fleet_status status;
    bool evacuated_after;
  };
  const row rows[] = {
      {"late end", true, false, 2, fleet::fleet_unavailable, true},
      {"late evacuation", false, true, 3, fleet::fleet_unavailable, false},
      {"end", true, false, 3, fleet::fleet_ok, false},
      {"evacuation", false, true, 4, fleet::fleet_ok, true},
      {"late, changes nothing", true, true, 0, fleet::fleet_ok, true},
  };
  for (const bool next_leader : {false, true}) {
    for (const row& it : rows) {
      evacuation_world fresh;
      fresh.call_all('n');
      fresh.evacuate();
      fresh.end_evacuation();
      fresh.evacuate();
      if (!it.evacuated) fresh.end_evacuation();
      if (next_leader) fresh.elect();
      fresh.call_all('n');
      fleet::fleet_request late =
          evacuation_world::make_order("north", it.order);
      late.mutable_evacuation()->set_known_version(it.known);
      const fleet::fleet_response response = fresh.ask(late);
      LONGS_EQUAL_TEXT(it.status, response.status(), it.name);
      const bool overtaken = it.status == fleet::fleet_unavailable;
      CHECK_TRUE_TEXT(overtaken == response.overtaken(), it.name);
      if (overtaken) {
        LONGS_EQUAL_TEXT(it.evacuated ? 3 : 4, response.evacuations_version(),
                         it.name);
      }
      CHECK_TRUE_TEXT(it.evacuated_after == fresh.evacuated().holds("north"),
                      it.name);
    }
  }
}

TEST(evacuation, late_order_undoes_one_that_is_being_recorded) {
  world.call_all('n');
  world.controller.request(evacuation_world::make_order("north", true),
                           [](const auto&) {});
  fleet::fleet_request late = evacuation_world::make_order("north", false);
  late.mutable_evacuation()->set_known_version(0);
  fleet::fleet_response response;
  world.controller.request(late, [&](const auto& it) { response = it; });
  CHECK_TRUE(response.overtaken());
  world.commit();
  CHECK_TRUE(world.evacuated().holds("north"));
  late.mutable_evacuation()->set_known_version(1);
  LONGS_EQUAL(fleet::fleet_ok, world.ask(late).status());
}

TEST(evacuation, version_of_the_past_is_unknown) {
  world.call_all('n');
  const time_point before = world.clock.now();
  world.clock.advance(milliseconds(100));
  world.evacuate();
  world.clock.advance(milliseconds(100));
  LONGS_EQUAL(0, world.controller.evacuations_known_at(before));
  LONGS_EQUAL(1, world.controller.evacuations_known_at(world.clock.now()));
  version_history history;
  LONGS_EQUAL(0, history.at(milliseconds(1)));
  for (int i = 1; i <= 1'000; ++i) {
    history.record(milliseconds(10 * i), static_cast<uint64_t>(i));
  }
  LONGS_EQUAL(0, history.at(milliseconds(100)));
  LONGS_EQUAL(999, history.at(milliseconds(9'999)));
  LONGS_EQUAL(1'000, history.at(milliseconds(20'000)));
}

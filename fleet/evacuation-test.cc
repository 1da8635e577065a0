// A data centre that an operator has evacuated: no start goes there on any
// road, what runs there goes on, and the order lasts.
#include <CppUTest/TestHarness.h>

#include "fleet/evacuation-test-world.h"

using namespace kestrelreel;

TEST_GROUP(evacuation) { evacuation_world world; };

TEST(evacuation, no_start_goes_there_on_any_road) {
  for (const road_row& it : roads) {
    evacuation_world fresh;
    set_out(fresh, it.it);
    fresh.evacuate();
    set_off(fresh, it.it);
    for (int i = 0; i < 20; ++i) {
      fresh.pass(step_time);
      fresh.call_all('n');
    }
    LONGS_EQUAL_TEXT(0, fresh.running_at('n'), it.name);
    // The order's opposite is what it waits for, or room elsewhere.
    fresh.call_all('s');
    fresh.run_for(milliseconds(4'000));
    LONGS_EQUAL_TEXT(0, fresh.running_at('n'), it.name);
    LONGS_EQUAL_TEXT(1, fresh.running_at('s'), it.name);
    CHECK_FALSE_TEXT(fresh.doubled(), it.name);
  }
}

TEST(evacuation, what_runs_there_goes_on) {
  world.submit(short_job, {make_task(4)});
  world.submit(long_running_job, {make_long_running(4, 1'000)});
  world.call_all('n');
  world.run_for(milliseconds(1'000));
  const size_t before = world.running_at('n');
  CHECK_TRUE(before > 0);
  world.evacuate();
  world.run_for(milliseconds(10'000));
  LONGS_EQUAL(before, world.running_at('n'));
  LONGS_EQUAL(0, world.stops);
}

// Nothing gives way there, and no room is kept there, for what cannot start.
TEST(evacuation, no_room_is_kept_there) {
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

TEST(evacuation, rooms_kept_there_are_given_up) {
  // Soon over by all that is known, but it goes on.
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

TEST(evacuation, tasks_go_there_again_once_it_is_taken_back) {
  world.call_all('n');
  world.evacuate();
  world.submit(short_job, {make_task(2)});
  world.run_for(milliseconds(0));
  world.call_all('n');
  LONGS_EQUAL(0, world.running_at('n'));
  world.take_back();
  world.pass(step_time);
  world.call_all('n');
  world.call_all('n');
  LONGS_EQUAL(2, world.running_at('n'));
}

// Taken back, all of its workers are empty: slow ones get a task only when no
// other has room.
TEST(evacuation, cold_workers_are_the_last_choice) {
  struct row {
    const char* name;
    uint64_t cold_ms;
    uint32_t tasks;
    size_t at_cold;
  };
  const row rows[] = {{"cold, room elsewhere", 5'000, 4, 0},
                      {"cold, no room elsewhere", 5'000, 12, 4},
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
    fresh.controller.leads(false);
    fresh.controller.leads(true);
    fresh.call_all('n');
    fresh.call_all('s');
    fresh.take_back();
    fresh.submit(short_job, {make_task(it.tasks)});
    fresh.call_all('n');
    fresh.call_all('s');
    LONGS_EQUAL_TEXT(it.at_cold, fresh.running_at('n'), it.name);
  }
}

TEST(evacuation, order_is_acknowledged_whenever_it_comes) {
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
      {"taken back without need", "north", false, fleet::fleet_ok, false, 0},
      {"first", "north", true, fleet::fleet_ok, true, 1},
      {"again", "north", true, fleet::fleet_ok, true, 1},
      {"unknown", "west", true, fleet::fleet_invalid, true, 1},
      {"none", "", true, fleet::fleet_invalid, true, 1},
      {"taken back", "north", false, fleet::fleet_ok, false, 2},
      {"taken back again", "north", false, fleet::fleet_ok, false, 2},
      {"anew", "north", true, fleet::fleet_ok, true, 3},
  };
  for (const row& it : rows) {
    LONGS_EQUAL_TEXT(it.status, world.order(it.data_centre, it.evacuate),
                     it.name);
    CHECK_TRUE_TEXT(it.north == world.evacuated().holds("north"), it.name);
    LONGS_EQUAL_TEXT(it.version, world.evacuated().version(), it.name);
  }
  CHECK_FALSE(world.evacuated().holds("west"));
}

// One that no worker has called from since the leader came is known by the
// settings.
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

// Acknowledged means recorded: not before, and with an order that is on its way
// the one that comes last rules.
TEST(evacuation, acknowledged_only_once_it_is_recorded) {
  world.call_all('n');
  std::vector<fleet::fleet_status> answers;
  for (const bool evacuate : {true, false, true}) {
    world.controller.request(
        evacuation_world::make_order("north", evacuate),
        [&](const auto& it) { answers.push_back(it.status()); });
  }
  world.controller.settle();
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

TEST(evacuation, order_under_way_when_the_leader_goes_is_left_open) {
  world.call_all('n');
  fleet::fleet_status status = fleet::fleet_ok;
  world.controller.request(evacuation_world::make_order("north", true),
                           [&](const auto& it) { status = it.status(); });
  world.controller.settle();
  world.controller.leads(false);
  LONGS_EQUAL(fleet::fleet_unknown, status);
}

TEST(evacuation, order_outlives_leaders_and_snapshots) {
  for (const bool snapshot : {false, true}) {
    evacuation_world fresh;
    fresh.call_all('n');
    fresh.evacuate();
    const uint64_t at = fresh.evacuated().in_force().at("north").ordered_at_ms;
    snapshot ? fresh.install_elsewhere() : fresh.elect();
    CHECK_TRUE(fresh.evacuated().holds("north"));
    LONGS_EQUAL(1, fresh.evacuated().version());
    LONGS_EQUAL(at, fresh.evacuated().in_force().at("north").ordered_at_ms);
    fresh.submit(short_job, {make_task(2)});
    for (int i = 0; i < 20; ++i) {
      fresh.pass(step_time);
      fresh.call_all('n');
    }
    LONGS_EQUAL(0, fresh.running_at('n'));
    fresh.call_all('s');
    fresh.call_all('s');
    LONGS_EQUAL(2, fresh.running_at('s'));
  }
}

// A start was recorded by the leader before, and the order after it: the next
// leader knows both and sends none.
TEST(evacuation,
     start_recorded_before_the_order_is_not_sent_by_the_next_leader) {
  world.heartbeat("n1");
  world.submit(late_job, {make_task()});
  world.evacuate();
  world.elect();
  world.call_all('s');
  for (int i = 0; i < 20; ++i) {
    world.pass(step_time);
    world.call_all('n');
    world.call_all('s');
  }
  LONGS_EQUAL(0, world.running_at('n'));
  LONGS_EQUAL(1, world.running_at('s'));
}

// A worker that leaves there is nothing special: its tasks start elsewhere.
TEST(evacuation, tasks_of_a_worker_that_leaves_there_start_elsewhere) {
  world.heartbeat("n1");
  world.submit(long_running_job, {make_long_running(1, 1'000)});
  world.heartbeat("n1");
  world.heartbeat("n1");
  LONGS_EQUAL(1, world.running_at('n'));
  world.evacuate();
  fleet::fleet_request request;
  request.set_worker_leaves("n1");
  world.ask(request);
  world.workers.erase("n1");
  world.heartbeat("n2");
  world.call_all('s');
  world.run_for(milliseconds(2'000));
  LONGS_EQUAL(0, world.running_at('n'));
  LONGS_EQUAL(1, world.running_at('s'));
}

// Leaves of workers that start again under the id that they had: whichever life
// a leave means, no other one ends.
#include <CppUTest/TestHarness.h>

#include "fleet/restarted-test-world.h"

using namespace kestrelreel;
using restarted::control_boxes;
using restarted::first_start_ms;
using restarted::heartbeat_route;
using restarted::id;
using restarted::incarnation;
using restarted::restart_case;
using restarted::restart_cases;
using restarted::run_first_incarnation;
using restarted::second_start_ms;
using restarted::submit;
using restarted::takeover_time;

TEST_GROUP(restarted_leave){};

// A leave names no life: the one that said it drains is meant.
TEST(restarted_leave, held_up_leave_of_the_earlier_life_ends_no_new_one) {
  for (const restart_case& it : restart_cases) {
    control_boxes all;
    incarnation first(all, it.route, first_start_ms, 500'000);
    run_first_incarnation(all, first);
    first.beat().set_draining(true);
    first.beat().set_remaining_ms(5'000);
    first.send_heartbeats_for(milliseconds(400));
    if (it.leader_changes) all.elect(1);
    incarnation second(all, it.route, second_start_ms, it.clock_ms);
    second.send_heartbeats_for(takeover_time);
    fleet::fleet_request leave;
    leave.set_worker_leaves(id);
    LONGS_EQUAL_TEXT(fleet::fleet_ok, all.ask(leave).status(), it.name);
    submit(all, 4, 1);
    second.send_heartbeats_for(takeover_time);
    LONGS_EQUAL_TEXT(1, second.runs_of(4), it.name);
    LONGS_EQUAL_TEXT(1, second.runs_of(3), it.name);
  }
}

// It crashed behind a cut that its leave was held up by as well; the leave
// tells the birth, and the next life drains too.
TEST(restarted_leave, leave_that_tells_its_life_ends_just_that) {
  control_boxes all;
  incarnation first(all, heartbeat_route::direct, first_start_ms, 500'000);
  run_first_incarnation(all, first);
  incarnation second(all, heartbeat_route::direct, second_start_ms, 2'000);
  second.send_heartbeats_for(takeover_time);
  second.beat().set_draining(true);
  second.beat().set_remaining_ms(20'000);
  second.send_heartbeat();
  fleet::fleet_request leave;
  leave.set_worker_leaves(id);
  leave.set_leaver_born(first_start_ms);
  LONGS_EQUAL(fleet::fleet_ok, all.ask(leave).status());
  CHECK_FALSE(all.book().left().contains(life_of(id, second_start_ms)));
  leave.set_leaver_born(second_start_ms);
  LONGS_EQUAL(fleet::fleet_ok, all.ask(leave).status());
  CHECK_TRUE(all.book().left().contains(life_of(id, second_start_ms)));
}

// Its acknowledgement was lost, so that it comes once more when the life is
// over: it must not be recorded as the leave of a worker without a birth.
TEST(restarted_leave, leave_that_comes_again_after_the_end_leaves_nothing) {
  control_boxes all;
  incarnation first(all, heartbeat_route::direct, first_start_ms, 500'000);
  run_first_incarnation(all, first);
  first.beat().set_draining(true);
  first.beat().set_remaining_ms(300);
  first.send_heartbeat();
  fleet::fleet_request leave;
  leave.set_worker_leaves(id);
  all.ask(leave);
  all.pass(milliseconds(3'000));
  LONGS_EQUAL(0, all.leader().workers().views().size());
  LONGS_EQUAL(fleet::fleet_ok, all.ask(leave).status());
  LONGS_EQUAL(0, all.leader().workers().views().size());
  LONGS_EQUAL(0, all.book().left().size());
}

// Leaves of workers that restart under the same id: a leave ends only the
// incarnation that it is meant for.
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

// A leave without a start time is meant for the draining incarnation.
TEST(restarted_leave,
     delayed_leave_of_the_earlier_incarnation_ends_no_later_one) {
  for (const restart_case& it : restart_cases) {
    control_boxes boxes;
    incarnation first(boxes, it.route, first_start_ms, 500'000);
    run_first_incarnation(boxes, first);
    first.beat().set_draining(true);
    first.beat().set_remaining_ms(5'000);
    first.send_heartbeats_for(milliseconds(400));
    if (it.leader_changes) boxes.elect(1);
    incarnation second(boxes, it.route, second_start_ms, it.clock_ms);
    second.send_heartbeats_for(takeover_time);
    fleet::fleet_request leave;
    leave.set_worker_leaves(id);
    LONGS_EQUAL_TEXT(fleet::fleet_ok, boxes.ask(leave).status(), it.name);
    submit(boxes, 4, 1);
    second.send_heartbeats_for(takeover_time);
    LONGS_EQUAL_TEXT(1, second.runs_of(4), it.name);
    LONGS_EQUAL_TEXT(1, second.runs_of(3), it.name);
  }
}

// The first incarnation crashed during a network cut that also delayed its
// leave. The leave carries the start time, and the next incarnation drains too.
TEST(restarted_leave, leave_with_a_start_time_ends_only_that_incarnation) {
  control_boxes boxes;
  incarnation first(boxes, heartbeat_route::direct, first_start_ms, 500'000);
  run_first_incarnation(boxes, first);
  incarnation second(boxes, heartbeat_route::direct, second_start_ms, 2'000);
  second.send_heartbeats_for(takeover_time);
  second.beat().set_draining(true);
  second.beat().set_remaining_ms(20'000);
  second.send_heartbeat();
  fleet::fleet_request leave;
  leave.set_worker_leaves(id);
  leave.set_leaver_born(first_start_ms);
  LONGS_EQUAL(fleet::fleet_ok, boxes.ask(leave).status());
  CHECK_FALSE(
      boxes.book().left().contains(incarnation_of(id, second_start_ms)));
  leave.set_leaver_born(second_start_ms);
  LONGS_EQUAL(fleet::fleet_ok, boxes.ask(leave).status());
  CHECK_TRUE(boxes.book().left().contains(incarnation_of(id, second_start_ms)));
}

// The acknowledgement of a leave was lost, and the leave is repeated after the
// end of the incarnation. The repeated leave must not be recorded as that of a
// worker without a start time.
TEST(restarted_leave, leave_repeated_after_the_end_records_nothing) {
  control_boxes boxes;
  incarnation first(boxes, heartbeat_route::direct, first_start_ms, 500'000);
  run_first_incarnation(boxes, first);
  first.beat().set_draining(true);
  first.beat().set_remaining_ms(300);
  first.send_heartbeat();
  fleet::fleet_request leave;
  leave.set_worker_leaves(id);
  boxes.ask(leave);
  boxes.pass(milliseconds(3'000));
  LONGS_EQUAL(0, boxes.leader().workers().views().size());
  LONGS_EQUAL(fleet::fleet_ok, boxes.ask(leave).status());
  LONGS_EQUAL(0, boxes.leader().workers().views().size());
  LONGS_EQUAL(0, boxes.book().left().size());
}

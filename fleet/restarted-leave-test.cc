// Leaves of workers that start again under the id that they had: whichever life
// a leave means, no other one ends.
#include <CppUTest/TestHarness.h>

#include "fleet/restarted-test-world.h"

using namespace kestrelreel;
using restarted::boxes;
using restarted::first_born;
using restarted::id;
using restarted::life;
using restarted::live_once;
using restarted::road;
using restarted::row;
using restarted::rows;
using restarted::second_born;
using restarted::soon;
using restarted::submit;

TEST_GROUP(restarted_leave){};

// A leave names no life: the one that said it drains is meant.
TEST(restarted_leave, held_up_leave_of_the_earlier_life_ends_no_new_one) {
  for (const row& it : rows) {
    boxes all;
    life first(all, it.calls_by, first_born, 500'000);
    live_once(all, first);
    first.beat().set_draining(true);
    first.beat().set_remaining_ms(5'000);
    first.call_for(milliseconds(400));
    if (it.leader_changes) all.elect(1);
    life second(all, it.calls_by, second_born, it.clock_ms);
    second.call_for(soon);
    fleet::fleet_request leave;
    leave.set_worker_leaves(id);
    LONGS_EQUAL_TEXT(fleet::fleet_ok, all.ask(leave).status(), it.name);
    submit(all, 4, 1);
    second.call_for(soon);
    LONGS_EQUAL_TEXT(1, second.runs_of(4), it.name);
    LONGS_EQUAL_TEXT(1, second.runs_of(3), it.name);
  }
}

// It crashed behind a cut that its leave was held up by as well; the leave
// tells the birth, and the next life drains too.
TEST(restarted_leave, leave_that_tells_its_life_ends_just_that) {
  boxes all;
  life first(all, road::direct, first_born, 500'000);
  live_once(all, first);
  life second(all, road::direct, second_born, 2'000);
  second.call_for(soon);
  second.beat().set_draining(true);
  second.beat().set_remaining_ms(20'000);
  second.call();
  fleet::fleet_request leave;
  leave.set_worker_leaves(id);
  leave.set_leaver_born(first_born);
  LONGS_EQUAL(fleet::fleet_ok, all.ask(leave).status());
  CHECK_FALSE(all.book().left().contains(incarnation_of(id, second_born)));
  leave.set_leaver_born(second_born);
  LONGS_EQUAL(fleet::fleet_ok, all.ask(leave).status());
  CHECK_TRUE(all.book().left().contains(incarnation_of(id, second_born)));
}

// Its acknowledgement was lost, so that it comes once more when the life is
// over: it must not be recorded as the leave of a worker without a birth.
TEST(restarted_leave, leave_that_comes_again_after_the_end_leaves_nothing) {
  boxes all;
  life first(all, road::direct, first_born, 500'000);
  live_once(all, first);
  first.beat().set_draining(true);
  first.beat().set_remaining_ms(300);
  first.call();
  fleet::fleet_request leave;
  leave.set_worker_leaves(id);
  all.ask(leave);
  all.pass(milliseconds(3'000));
  LONGS_EQUAL(0, all.leader().workers().views().size());
  LONGS_EQUAL(fleet::fleet_ok, all.ask(leave).status());
  LONGS_EQUAL(0, all.leader().workers().views().size());
  LONGS_EQUAL(0, all.book().left().size());
}

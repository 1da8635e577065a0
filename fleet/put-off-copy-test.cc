// Ends in a call that another sender writes under a worker's id.
#include <CppUTest/TestHarness.h>

#include "fleet/beat-intake.h"
#include "fleet/fleet-test-world.h"

using namespace kestrelreel;

namespace {

constexpr milliseconds call_interval{200};

/// A change that the other sender makes to a copy of the worker's heartbeat.
struct row {
  const char* name;
  void (*change)(fleet::worker_beat& it);
};

const row rows[] = {
    {"another address",
     [](fleet::worker_beat& it) { it.set_address("other:1"); }},
    {"an unknown pool", [](fleet::worker_beat& it) { it.set_pool("none"); }},
    {"a clock far ahead",
     [](fleet::worker_beat& it) {
       it.set_clock_ms(it.clock_ms() + 10'000'000);
     }},
};

void ignore(const fleet::fleet_response&) {}

/// A task runs on "a", which has not called the box `intake`.
struct copy_world : test_world {
  copy_world() {
    configure(1, 99);
    clock.advance(call_interval);
    submit(1, {make_step(1)});
    task = beat("a").starts(0).task();
    clock.advance(call_interval);
    beat("a");
  }
  static intake_settings make_narrow() {
    intake_settings out;
    out.initial_window = out.min_window = out.max_window = 1;
    return out;
  }
  /// A call of "b" fills the window of the box.
  void fill_window() {
    intake.take(next_heartbeat("b"), ignore);
    pass_on();
  }
  void pass_on() {
    controller.take_heartbeats(intake.collect("L"),
                               [](const fleet::beat_answer&) {});
    commit();
  }
  /// Sends a changed copy of the last heartbeat of "a" with an end of its run.
  void send_copy(const row& it) {
    clock.advance(call_interval);
    fleet::worker_beat copy = workers["a"];
    copy.set_sequence(copy.sequence() + 1);
    copy.set_clock_ms(static_cast<uint64_t>(clock.now().count()));
    fleet::run_end& end = *copy.add_ended();
    end.set_number(9);
    *end.mutable_task() = task;
    end.set_run(1);
    end.set_outcome(fleet::run_done);
    it.change(copy);
    intake.take(copy, ignore);
    clock.advance(intake_settings().put_off_after);
    intake.expire();
    pass_on();
  }

  heartbeat_intake intake{make_narrow(), clock, metrics};
  fleet::task_ref task;
};

}  // namespace

TEST_GROUP(put_off_copy){};

TEST(put_off_copy, end_in_a_copy_that_is_passed_on_is_refused) {
  for (const row& it : rows) {
    copy_world world;
    world.send_copy(it);
    LONGS_EQUAL_TEXT(fleet::job_running, world.state(1).phase(), it.name);
    LONGS_EQUAL_TEXT(0, world.beat("a").last_end(), it.name);
  }
}

// A copy that the leader would refuse ended the worker's run, as its ends were
// sent without what the leader refuses it by.
TEST(put_off_copy, end_in_a_copy_that_is_put_off_counts) {
  for (const row& it : rows) {
    copy_world world;
    world.fill_window();
    world.send_copy(it);
    LONGS_EQUAL_TEXT(fleet::job_running, world.state(1).phase(), it.name);
    LONGS_EQUAL_TEXT(0, world.beat("a").last_end(), it.name);
  }
}

// A control box with slow round trips to the leader, as behind a saturated
// link, while the leader and the other boxes are fast.
#include <CppUTest/TestHarness.h>

#include "fleet/busy-leader-test-rows.h"

using namespace kestrelreel;
using busy::scenario;

namespace {

/// A worker calls three times per lease at any load.
constexpr milliseconds max_unread_time = max_lease_duration / 3;

struct row {
  const char* name;
  milliseconds answer_delay;
  milliseconds call_delay{0};
  // Number of slow boxes out of four.
  int boxes = 1;
  // How long one box was cut off before.
  milliseconds cut{0};
};

busy::outcome run_row(const row& it) {
  scenario world_setting{it.name, 880, {}};
  world_setting.jobs_per_s = 40;
  world_setting.returns_to_first_box = true;
  constexpr milliseconds start{3'000};
  constexpr milliseconds length{10'000};
  busy::busy_world world(world_setting);
  world.pass(start);
  world.cut_first_box(it.cut > milliseconds(0));
  world.pass(it.cut);
  world.cut_first_box(false);
  world.delay_boxes(it.boxes, it.answer_delay, it.call_delay);
  world.pass(length);
  world.delay_boxes(it.boxes, milliseconds(0), milliseconds(0));
  world.pass(start);
  return world.out();
}

}  // namespace

TEST_GROUP(late_intake){};

// Workers whose calls a slow box put off repeatedly never reached the leader,
// also where each box was slow and the leader was not. They were declared lost,
// and their completed tasks were started again.
TEST(late_intake, workers_put_off_by_slow_box_are_declared_lost) {
  const row rows[] = {
      {"half a second late", milliseconds(500)},
      {"nearly too late", milliseconds(850)},
      {"too late", milliseconds(950)},
      {"seconds late", milliseconds(4'000)},
      {"calls are late", milliseconds(0), milliseconds(850)},
      {"three of four", milliseconds(500), milliseconds(0), 3},
      // No box is faster, so that no call is sent to another one.
      {"all of them, hardly late", milliseconds(450), milliseconds(0), 4},
      {"all of them", milliseconds(500), milliseconds(0), 4},
      {"all of them, nearly too late", milliseconds(850), milliseconds(0), 4},
      {"all of them, one back from a cut", milliseconds(450), milliseconds(0),
       4, milliseconds(3'000)},
  };
  for (const row& it : rows) {
    const busy::outcome out = run_row(it);
    STRCMP_EQUAL_TEXT("", out.violation.c_str(), it.name);
    CHECK_TRUE_TEXT(out.done > 0, it.name);
    busy::check_within(max_unread_time, out.longest_read_gap, it.name,
                       "unread");
    LONGS_EQUAL_TEXT(0, out.restarts_after_success, it.name);
    LONGS_EQUAL_TEXT(0, out.lapsed, it.name);
  }
}

// A box that lost sight of the leader for a moment forwarded its calls again.
// The leader took the copies for overtaken, and its orders answered no call.
TEST(late_intake, call_forwarded_twice_gets_no_orders) {
  test_world world;
  world.configure(1, 99);
  heartbeat_intake intake{{}, world.clock, world.metrics};
  fleet::fleet_response got;
  int answered = 0;
  fleet::beat_answers answers;
  const auto add = [&](const auto& it) { *answers.add_answers() = it; };
  const auto handle = [&] {
    intake.handle_answers(answers);
    answers.clear_answers();
  };
  world.submit(1, {test_world::make_step(1)});
  intake.take(world.next_heartbeat("a"), [&](const auto& it) {
    got = it;
    ++answered;
  });
  world.controller.take_heartbeats(intake.collect("L"), add);
  world.controller.decide();
  intake.leader_changed();
  world.controller.take_heartbeats(intake.collect("L"), add);
  handle();
  world.commit();
  handle();
  LONGS_EQUAL(1, answered);
  LONGS_EQUAL(1, world.controller.book().runs_on(worker_id("a")).size());
  STRCMP_EQUAL("", got.reason().c_str());
  LONGS_EQUAL(1, got.orders().starts_size());
}

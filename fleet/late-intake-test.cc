// A control box to which the leader's answers are on their way for long, as
// behind a link that is full; the leader and the other boxes are on time.
#include <CppUTest/TestHarness.h>

#include "fleet/busy-leader-test-rows.h"

using namespace kestrelreel;
using busy::scenario;

namespace {

/// A worker calls three times in its lease, whatever the load.
constexpr milliseconds max_read_gap = longest_hold / 3;

struct row {
  const char* name;
  milliseconds answers;
  milliseconds calls{0};
  // Boxes, of four, whose way to the leader is so long.
  int boxes = 1;
  milliseconds most = max_read_gap;
};

busy::outcome play(const row& it) {
  scenario world_setting{it.name, 880, {}};
  world_setting.jobs_per_s = 40;
  world_setting.returns_to_first_box = true;
  constexpr milliseconds start{3'000};
  constexpr milliseconds length{10'000};
  busy::busy_world world(world_setting);
  world.pass(start);
  world.delay_boxes(it.boxes, it.answers, it.calls);
  world.pass(length);
  world.delay_boxes(it.boxes, milliseconds(0), milliseconds(0));
  world.pass(start);
  return world.out();
}

}  // namespace

TEST_GROUP(late_intake){};

// Workers whose calls such a box put off time and again were never heard, were
// given up on, and what they had done started again.
TEST(late_intake, workers_that_a_box_puts_off_are_heard_all_the_same) {
  const row rows[] = {
      {"half a second late", milliseconds(500)},
      {"nearly too late", milliseconds(850)},
      {"too late", milliseconds(950)},
      {"seconds late", milliseconds(4'000)},
      {"calls are late", milliseconds(0), milliseconds(850)},
      {"three of four", milliseconds(500), milliseconds(0), 3},
      // Nobody is better off elsewhere: a turn each within the lease.
      {"all of them", milliseconds(500), milliseconds(0), 4, longest_hold},
  };
  for (const row& it : rows) {
    const busy::outcome out = play(it);
    STRCMP_EQUAL_TEXT("", out.violation.c_str(), it.name);
    CHECK_TRUE_TEXT(out.done > 0, it.name);
    busy::check_within(it.most, out.longest_read_gap, it.name, "unread");
    LONGS_EQUAL_TEXT(0, out.restarts_after_success, it.name);
    LONGS_EQUAL_TEXT(0, out.lapsed, it.name);
  }
}

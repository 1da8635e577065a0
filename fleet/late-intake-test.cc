// A control box to which the leader's answers are on their way for long, as
// behind a link that is full; the leader and the other boxes are on time.
#include <CppUTest/TestHarness.h>

#include "fleet/busy-leader-test-rows.h"

using namespace kestrelreel;
using busy::setting;

namespace {

/// A worker calls three times in its lease, whatever the load.
constexpr milliseconds most_unread = longest_hold / 3;

busy::outcome play_late_box(const char* name, milliseconds late) {
  setting it{name, 880, {}};
  it.jobs_per_s = 40;
  it.sends_home = true;
  constexpr milliseconds start{3'000};
  constexpr milliseconds length{10'000};
  busy::busy_world world(it);
  world.pass(start);
  world.delay_answers(0, late);
  world.pass(length);
  world.delay_answers(0, milliseconds(0));
  world.pass(start);
  return world.out();
}

}  // namespace

TEST_GROUP(late_intake){};

// Workers whose calls such a box put off time and again were never heard, were
// given up on, and what they had done started again.
TEST(late_intake, workers_that_a_box_puts_off_are_heard_all_the_same) {
  const struct {
    const char* name;
    milliseconds late;
  } rows[] = {
      {"half a second late", milliseconds(500)},
      {"nearly too late", milliseconds(850)},
      {"too late", milliseconds(950)},
      {"seconds late", milliseconds(4'000)},
  };
  for (const auto& [name, late] : rows) {
    const busy::outcome out = play_late_box(name, late);
    STRCMP_EQUAL_TEXT("", out.wrong.c_str(), name);
    CHECK_TRUE_TEXT(out.done > 0, name);
    busy::check_within(most_unread, out.longest_unread, name, "unread");
    LONGS_EQUAL_TEXT(0, out.started_again, name);
    LONGS_EQUAL_TEXT(0, out.lapsed, name);
  }
}

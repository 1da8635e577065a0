// What is read after a gap may have been sent before it.
#include <CppUTest/TestHarness.h>

#include "daemon/arrival-bound.h"

using namespace kestrelreel;

namespace {

constexpr milliseconds turn{100};
constexpr milliseconds gap{4'000};

/// A bound after many turns, the last one at `at`.
arrival_bound after_turns(time_point at) {
  arrival_bound out(at - 10 * turn);
  for (time_point it = at - 9 * turn; it <= at; it += turn) out.turned(it);
  return out;
}

}  // namespace

TEST_GROUP(arrival_bound) { const time_point last{100'000}; };

TEST(arrival_bound, bytes_of_a_usual_turn_count_as_old) {
  const arrival_bound it = after_turns(last);
  CHECK_TRUE(it.earliest(last + milliseconds(50)) == last);
}

TEST(arrival_bound, bytes_that_lay_in_a_gap_count_as_new) {
  struct row {
    const char* name;
    bool turned_first;
    milliseconds after;
    bool in_gap;
  };
  const row rows[] = {
      {"read before the turn is noted", false, milliseconds(0), true},
      {"read after it", true, milliseconds(0), true},
      {"read with the backlog", true, milliseconds(900), true},
      {"repeated by the sender", true, gap - turn, true},
      {"read later", true, gap, false},
  };
  for (const row& it : rows) {
    arrival_bound bound = after_turns(last);
    const time_point woke = last + gap;
    if (it.turned_first) {
      for (milliseconds at{0}; at <= it.after; at += turn)
        bound.turned(woke + at);
    }
    CHECK_TRUE_TEXT((bound.earliest(woke + it.after) <= last) == it.in_gap,
                    it.name);
  }
}

TEST(arrival_bound, short_gap_counts_for_its_own_length_only) {
  arrival_bound bound = after_turns(last);
  constexpr milliseconds short_gap{400};
  constexpr milliseconds backlog{1'000};
  for (milliseconds at{0}; at <= backlog; at += turn)
    bound.turned(last + short_gap + at);
  const time_point now = last + short_gap + backlog;
  CHECK_TRUE(bound.earliest(now) == now);
}

TEST(arrival_bound, nothing_was_sent_before_the_start) {
  arrival_bound it(last);
  CHECK_TRUE(it.earliest(last + gap) == last);
  it.turned(last + gap);
  CHECK_TRUE(it.earliest(last + gap) == last + gap);
}

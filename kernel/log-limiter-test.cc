// The log is bounded, tells what it left out, and tells rare events also while
// others are frequent.
#include <CppUTest/TestHarness.h>

#include <string>

#include "kernel/log-limiter.h"

using namespace kestrelreel;

TEST_GROUP(log_limiter) {
  time_point now{5'000};
  /// How many of `n` lines, of that many events in turn, are written.
  unsigned write(log_limiter & limiter, int n, int events) {
    unsigned written = 0;
    for (int i = 0; i < n; ++i) {
      const std::string event = "event-" + std::to_string(i % events);
      written += limiter.allow(event, now) ? 1 : 0;
    }
    return written;
  }
};

TEST(log_limiter, lines_are_bounded_and_counted) {
  struct row {
    const char* name;
    int events;
    unsigned at_once;
    unsigned after_half_a_second;
    unsigned after_long;
  };
  const row rows[] = {
      {"one event: a quarter", 1, 10, 5, 10},
      {"two events", 2, 20, 10, 20},
      // Of 20 new lines the frequent events may have those above 10.
      {"many frequent events", 8, 40, 20, 40},
  };
  for (const row& it : rows) {
    log_limiter limiter(40);
    const unsigned first = write(limiter, 400, it.events);
    CHECK_TRUE_TEXT(first <= it.at_once, it.name);
    CHECK_TRUE_TEXT(first >= it.at_once * 3 / 4, it.name);
    now += milliseconds(500);
    const unsigned second = write(limiter, 400, it.events);
    CHECK_TRUE_TEXT(second <= it.after_half_a_second, it.name);
    CHECK_TRUE_TEXT(second > 0, it.name);
    now += milliseconds(60'000);
    CHECK_TRUE_TEXT(write(limiter, 400, it.events) <= it.after_long, it.name);
  }
}

TEST(log_limiter, what_is_left_out_is_told_by_event_once_a_second) {
  log_limiter limiter(40);
  LONGS_EQUAL(10, write(limiter, 100, 1));
  STRCMP_EQUAL("event-0:90", limiter.take_dropped(now).c_str());
  STRCMP_EQUAL("", limiter.take_dropped(now).c_str());
  now += milliseconds(100);
  write(limiter, 100, 1);
  STRCMP_EQUAL("", limiter.take_dropped(now).c_str());
  now += milliseconds(900);
  STRCMP_EQUAL("event-0:99", limiter.take_dropped(now).c_str());
}

TEST(log_limiter, each_event_is_told_once_a_second_whatever_else_is) {
  log_limiter limiter(400);
  for (int ms = 0; ms < 5'000; ++ms) {
    now += milliseconds(1);
    write(limiter, 16, 8);
  }
  for (int i = 0; i < 30; ++i) {
    for (const char* rare : {"a", "b", "c", "d", "e"}) limiter.allow(rare, now);
  }
  CHECK_TRUE(limiter.allow("commands-not-recorded", now));
  // No more than that one where nothing is left.
  CHECK_FALSE(limiter.allow("commands-not-recorded", now));
  now += milliseconds(1'000);
  write(limiter, 400, 8);
  CHECK_TRUE(limiter.allow("commands-not-recorded", now));
}

// A leader's log that starts, ends and comings of jobs filled told nothing of
// most workers that left meanwhile.
TEST(log_limiter, rare_event_is_told_while_others_are_frequent) {
  log_limiter limiter(400);
  unsigned told = 0;
  for (int ms = 0; ms < 10'000; ++ms) {
    now += milliseconds(1);
    write(limiter, 16, 8);
    if (ms % 500 < 25) told += limiter.allow("worker-leaves", now) ? 1 : 0;
  }
  LONGS_EQUAL(20 * 25, told);
}

// The log is bounded, and tells what it left out.
#include <CppUTest/TestHarness.h>

#include "kernel/log.h"

using namespace kestrelreel;

TEST_GROUP(log){};

TEST(log, lines_are_bounded_and_counted) {
  log_limiter limiter(10);
  time_point now{5'000};
  unsigned written = 0;
  for (int i = 0; i < 100; ++i) written += limiter.allow(now) ? 1 : 0;
  LONGS_EQUAL(10, written);
  LONGS_EQUAL(90, limiter.take_dropped());
  LONGS_EQUAL(0, limiter.take_dropped());
  now += milliseconds(500);
  written = 0;
  for (int i = 0; i < 100; ++i) written += limiter.allow(now) ? 1 : 0;
  LONGS_EQUAL(5, written);
  now += milliseconds(60'000);
  written = 0;
  for (int i = 0; i < 100; ++i) written += limiter.allow(now) ? 1 : 0;
  LONGS_EQUAL(10, written);
}

// The lag is the median delay of heartbeats; the stretch rises quickly while
// the lag is large and decays slowly afterwards.
#include "fleet/leader-lag.h"

#include <CppUTest/TestHarness.h>

using namespace kestrelreel;

TEST_GROUP(leader_lag) {
  leader_lag lag;

  void record_delays(int n, milliseconds delay) {
    for (int i = 0; i < n; ++i) lag.record_delay(delay);
  }
  void pass(int ticks, milliseconds delay) {
    for (int i = 0; i < ticks; ++i) {
      record_delays(10, delay);
      lag.tick(milliseconds(0));
    }
  }
};

TEST(leader_lag, nothing_is_deferred_without_lag) {
  pass(50, milliseconds(40));
  LONGS_EQUAL(40, lag.lag().count());
  LONGS_EQUAL(100, lag.stretch_percent());
  CHECK_FALSE(lag.behind());
}

TEST(leader_lag, few_delayed_heartbeats_do_not_raise_the_lag) {
  for (int i = 0; i < 20; ++i) {
    record_delays(6, milliseconds(30));
    record_delays(4, milliseconds(3'000));
    lag.tick(milliseconds(0));
  }
  CHECK_FALSE(lag.behind());
}

TEST(leader_lag, stretch_rises_within_half_a_second_and_is_bounded) {
  pass(5, milliseconds(400));
  LONGS_EQUAL(400, lag.stretch_percent());
  pass(50, milliseconds(900));
  LONGS_EQUAL(400, lag.stretch_percent());
  LONGS_EQUAL(800, lag.stretched(milliseconds(200)).count());
}

TEST(leader_lag, late_ticks_count_without_heartbeats) {
  lag.tick(milliseconds(700));
  LONGS_EQUAL(700, lag.lag().count());
  CHECK_TRUE(lag.behind());
}

TEST(leader_lag, stretch_decays_after_catching_up) {
  pass(5, milliseconds(400));
  pass(10, milliseconds(100));
  LONGS_EQUAL(400, lag.stretch_percent());
  pass(20, milliseconds(40));
  LONGS_EQUAL(100, lag.stretch_percent());
}

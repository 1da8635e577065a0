// Learned run times.
#include <CppUTest/TestHarness.h>

#include <cmath>

#include "scheduling/run-times.h"

using namespace kestrelreel;

namespace {

const task_kind kind{"plan", 1};

/// Ratios of actual to declared times around 3.
milliseconds actual_of(int i) {
  return milliseconds(i % 2 == 0 ? 2'000 : 4'500);
}

}  // namespace

TEST_GROUP(run_times){};

TEST(run_times, declared_time_holds_until_enough_runs_were_seen) {
  learned_run_times times;
  for (int i = 0; i < 19; ++i)
    times.observe(kind, milliseconds(1'000), actual_of(i));
  LONGS_EQUAL(19, times.observations(kind));
  LONGS_EQUAL(1'000, times.run_time(kind, milliseconds(1'000)).high.count());
  times.observe(kind, milliseconds(1'000), actual_of(19));
  CHECK_TRUE(times.run_time(kind, milliseconds(1'000)).expected >
             milliseconds(2'500));
}

TEST(run_times, estimate_scales_with_the_declared_time) {
  learned_run_times times;
  for (int i = 0; i < 200; ++i)
    times.observe(kind, milliseconds(1'000), actual_of(i));
  const time_estimate one = times.run_time(kind, milliseconds(1'000));
  const time_estimate two = times.run_time(kind, milliseconds(2'000));
  // The mean of both ratios is 3.25; nine of ten are below 5.
  DOUBLES_EQUAL(3'250, static_cast<double>(one.expected.count()), 150);
  CHECK_TRUE(one.high >= milliseconds(4'500));
  DOUBLES_EQUAL(2.0,
                static_cast<double>(two.expected.count()) /
                    static_cast<double>(one.expected.count()),
                0.01);
}

TEST(run_times, other_kinds_are_not_affected) {
  learned_run_times times;
  for (int i = 0; i < 200; ++i)
    times.observe(kind, milliseconds(1'000), actual_of(i));
  for (const task_kind& other : {task_kind{"plan", 0}, task_kind{"list", 1}}) {
    LONGS_EQUAL(700, times.run_time(other, milliseconds(700)).expected.count());
  }
}

TEST(run_times, change_of_the_load_is_followed) {
  learned_run_times times;
  for (int i = 0; i < 1'000; ++i)
    times.observe(kind, milliseconds(1'000), milliseconds(1'000));
  for (int i = 0; i < 1'000; ++i)
    times.observe(kind, milliseconds(1'000), milliseconds(5'000));
  CHECK_TRUE(times.run_time(kind, milliseconds(1'000)).expected >
             milliseconds(4'500));
}

TEST(run_times, wrong_claims_give_bounded_estimates) {
  struct row {
    int64_t declared_ms;
    int64_t actual_ms;
  };
  const row rows[] = {{0, 1'000},
                      {-5, 1'000},
                      {1'000, 0},
                      {1'000, -1},
                      {INT64_MAX / 2, 1'000},
                      {1, INT64_MAX / 2}};
  for (const row& it : rows) {
    learned_run_times times;
    for (int i = 0; i < 50; ++i) {
      times.observe(kind, milliseconds(it.declared_ms),
                    milliseconds(it.actual_ms));
    }
    const time_estimate out =
        times.run_time(kind, milliseconds(it.declared_ms));
    CHECK_TRUE(out.expected >= milliseconds(0));
    CHECK_TRUE(out.high >= out.expected);
    CHECK_TRUE(out.high <= std::chrono::hours(24));
  }
}

// One caller's false claims spoiled the estimates of all jobs of the kind.
TEST(run_times, false_claims_do_not_spoil_the_kind) {
  constexpr milliseconds actual{1'000};
  const milliseconds claims[] = {milliseconds(0), milliseconds(-1),
                                 std::chrono::hours(24), milliseconds::max()};
  for (const milliseconds claim : claims) {
    for (const bool at_once : {false, true}) {
      learned_run_times times;
      for (int i = 0; i < 100; ++i) {
        const bool is_false = at_once ? i >= 95 : i % 20 == 0;
        times.observe(kind, is_false ? claim : actual, actual);
      }
      LONGS_EQUAL(100, times.observations(kind));
      const time_estimate out = times.run_time(kind, actual);
      CHECK_TRUE(out.expected >= actual / 2 && out.expected <= actual * 2);
      CHECK_TRUE(out.high >= actual / 2 && out.high <= actual * 2);
    }
  }
}

TEST(run_times, undeclared_time_is_estimated_by_the_runs) {
  for (const int64_t declared_ms : {0, -7}) {
    learned_run_times times;
    const milliseconds declared(declared_ms);
    LONGS_EQUAL(0, times.run_time(kind, declared).high.count());
    for (int i = 0; i < 200; ++i) times.observe(kind, declared, actual_of(i));
    const time_estimate out = times.run_time(kind, declared);
    DOUBLES_EQUAL(3'250, static_cast<double>(out.expected.count()), 150);
    CHECK_TRUE(out.high >= milliseconds(4'500));
    // Nothing is known of the claims of others.
    LONGS_EQUAL(700, times.run_time(kind, milliseconds(700)).high.count());
  }
}

TEST(run_times, declared_times_are_bounded) {
  const declared_run_times times;
  LONGS_EQUAL(0, times.run_time(kind, milliseconds(-1)).high.count());
  LONGS_EQUAL(0, times.run_time(kind, milliseconds::min()).high.count());
  LONGS_EQUAL(5, times.run_time(kind, milliseconds(5)).high.count());
  CHECK_TRUE(times.run_time(kind, milliseconds::max()).high == max_run_time);
}

// Replays emulated loads through the scheduler and checks the worth earned.
#include <CppUTest/TestHarness.h>

#include "support/emulator/emulator.h"

using namespace kestrelreel;

namespace {

constexpr uint64_t seeds = 4;

/// Share of their worth that jobs of a kind earn, over all seeds.
double earned(const char* pattern, const char* kind,
              const scheduler_settings& settings) {
  emulator::kind_outcome sum;
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    const auto out =
        emulator::play(*emulator::find_pattern(pattern), settings, seed);
    sum.earned += out.kinds.at(kind).earned;
    sum.owed += out.kinds.at(kind).owed;
  }
  return sum.share();
}

/// Share of their time at work for which serving tasks are over their target.
double over_target(const char* pattern, const scheduler_settings& settings) {
  double over = 0;
  double at_work = 0;
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    const auto out =
        emulator::play(*emulator::find_pattern(pattern), settings, seed);
    over += out.over_s;
    at_work += out.at_work_s;
  }
  return over / at_work;
}

scheduler_settings throttle_by_slack() {
  scheduler_settings settings;
  settings.decisions.learn_run_times = true;
  settings.decisions.throttle_by_slack = true;
  return settings;
}

}  // namespace

TEST_GROUP(load_replay){};

// Backfill jobs with time to spare were run at the cost of serving tasks.
TEST(load_replay, calm_backfill_gives_way_to_targets) {
  CHECK_TRUE(over_target("calm", throttle_by_slack()) <
             over_target("calm", {}));
  CHECK_TRUE(earned("calm", "fill", throttle_by_slack()) >= 0.97);
}

// In a burst no job has time to spare, and none is made late.
TEST(load_replay, pressed_backfill_keeps_its_pace) {
  CHECK_TRUE(earned("fill-over-serving", "fill", throttle_by_slack()) >= 0.68);
}

// Backfill demand for all free processors: if a target may cost 3 to 12
// processors, more backfill jobs are late.
TEST(load_replay, fill_jobs_are_in_time_beside_serving_tasks) {
  struct row {
    double max_backfill_loss_cores;
    double least;
    double most;
  };
  const row rows[] = {{scheduler_settings().max_backfill_loss_cores, 0.68, 1},
                      {12, 0, 0.62}};
  for (const row& it : rows) {
    scheduler_settings settings;
    settings.max_backfill_loss_cores = it.max_backfill_loss_cores;
    const double share = earned("fill-over-serving", "fill", settings);
    CHECK_TRUE(share >= it.least && share <= it.most);
  }
}

// With enough capacity for all jobs, all are in time.
TEST(load_replay, calm_load_is_served_whole) {
  CHECK_TRUE(earned("calm", "fill", {}) >= 0.97);
  CHECK_TRUE(earned("calm", "short", {}) >= 0.97);
}

TEST(load_replay, equal_seeds_give_equal_loads) {
  const auto& pattern = *emulator::find_pattern("calm");
  const auto a = emulator::play(pattern, {}, 7);
  const auto b = emulator::play(pattern, {}, 7);
  CHECK_EQUAL(a.starts, b.starts);
  DOUBLES_EQUAL(a.served, b.served, 0);
  DOUBLES_EQUAL(a.over_s, b.over_s, 0);
}

// A job with a task that crashes workers fails within the users' budget, three
// crashes and two more starts, and no other job fails.
TEST(load_replay, crashing_jobs_are_given_up_and_no_others) {
  constexpr unsigned most_crashes = 5;
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    const auto out =
        emulator::play(*emulator::find_pattern("crashing"), {}, seed);
    CHECK_TRUE(out.crashing_jobs > 0);
    LONGS_EQUAL(out.crashing_jobs, out.given_up);
    LONGS_EQUAL(0, out.wrongly_given_up);
    CHECK_TRUE(out.crashes <= most_crashes * out.crashing_jobs);
  }
}

TEST(load_replay, room_that_shrinks_is_filled_no_further) {
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    const auto out =
        emulator::play(*emulator::find_pattern("shrinking"), {}, seed);
    LONGS_EQUAL(0, out.over_room);
    LONGS_EQUAL(0, out.wrongly_given_up);
  }
}

TEST(load_replay, suspended_leader_gives_nothing_up_that_can_be_done) {
  CHECK_TRUE(earned("suspended", "short", {}) >= 0.8);
  const auto out = emulator::play(*emulator::find_pattern("suspended"), {}, 1);
  LONGS_EQUAL(0, out.wrongly_given_up);
}

// Replays a load with backfill demand for all free processors: slack must not
// make its jobs late.
#include <CppUTest/TestHarness.h>

#include "support/emulator/emulator.h"

using namespace kestrelreel;

namespace {

constexpr uint64_t seeds = 4;

/// Share of their worth that backfill jobs earn, over all seeds.
double earned(const scheduler_settings& settings) {
  emulator::kind_outcome sum;
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    const auto out = emulator::play(
        *emulator::find_pattern("fill-over-serving"), settings, seed);
    sum.earned += out.kinds.at("fill").earned;
    sum.owed += out.kinds.at("fill").owed;
  }
  return sum.share();
}

}  // namespace

TEST_GROUP(pressed_replay){};

// In a burst no job has time to spare, and none is made late.
TEST(pressed_replay, slack_costs_pressed_backfill_nothing) {
  scheduler_settings on;
  on.decisions.learn_run_times = true;
  on.decisions.throttle_by_slack = true;
  const double share = earned(on);
  CHECK_TRUE(share >= 0.68);
  CHECK_TRUE(share >= earned({}) - 0.01);
}

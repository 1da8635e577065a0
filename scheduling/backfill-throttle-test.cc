// Paces of backfill tasks beside a serving task.
#include <CppUTest/TestHarness.h>

#include "scheduling/backfill-throttle.h"

using namespace kestrelreel;

namespace {

constexpr milliseconds review_interval{1'000};
constexpr throttle_limits limits{1.5, review_interval};

throttle_candidate task(double cost, double use, int slack_ms) {
  return {cost, use, 1, milliseconds(slack_ms)};
}

}  // namespace

TEST_GROUP(backfill_throttle){};

TEST(backfill_throttle, weight_falls_with_the_slack) {
  struct row {
    int slack_ms;
    double weight;
  };
  const row rows[] = {{-60'000, 1}, {0, 1},     {500, 0.75},
                      {1'000, 0.5}, {2'000, 0}, {3'600'000, 0}};
  for (const row& it : rows) {
    DOUBLES_EQUAL(it.weight,
                  loss_weight(milliseconds(it.slack_ms), review_interval),
                  1e-9);
  }
}

TEST(backfill_throttle, load_is_lowered_at_the_least_loss) {
  struct row {
    const char* name;
    double excess;
    std::vector<throttle_candidate> tasks;
    std::vector<double> shares;
  };
  const row rows[] = {{"no tasks", 0.1, {}, {}},
                      {"target is met", -0.1, {task(0.1, 2, 0)}, {1}},
                      {"one of two suffices",
                       0.1,
                       {task(0.1, 2, 0), task(0.05, 2, 0)},
                       {0.5, 1}},
                      {"harmless task keeps its pace",
                       0.1,
                       {task(0, 2, 0), task(0.1, 2, 0)},
                       {1, 0.5}},
                      {"too dear without slack",
                       0.4,
                       {task(0.1, 2, 0), task(0.1, 2, 0)},
                       {1, 1}},
                      {"free with slack",
                       0.4,
                       {task(0.1, 2, 9'000), task(0.1, 2, 9'000)},
                       {0, 0}},
                      {"slack goes first",
                       0.1,
                       {task(0.1, 2, 0), task(0.05, 2, 9'000)},
                       {1, 0}},
                      {"slack makes room for the rest",
                       0.25,
                       {task(0.1, 2, 0), task(0.1, 2, 9'000)},
                       {0.75, 0}},
                      {"more than there is", 9, {task(0.1, 2, 9'000)}, {0}}};
  for (const row& it : rows) {
    const std::vector<double> out = throttle(it.excess, it.tasks, limits);
    LONGS_EQUAL_TEXT(it.shares.size(), out.size(), it.name);
    for (size_t i = 0; i < out.size(); ++i) {
      DOUBLES_EQUAL_TEXT(it.shares[i], out[i], 1e-9, it.name);
    }
  }
}

TEST(backfill_throttle, slowed_tasks_are_never_sped_up) {
  const std::vector<throttle_candidate> tasks{
      {0.1, 2, 0.3, milliseconds(0)}, {0.1, 2, 0.6, milliseconds(9'000)}};
  for (const double excess : {-1.0, 0.0, 0.05, 0.2, 1.0}) {
    const std::vector<double> out = throttle(excess, tasks, limits);
    for (size_t i = 0; i < out.size(); ++i)
      CHECK_TRUE(out[i] >= 0 && out[i] <= tasks[i].share);
  }
}

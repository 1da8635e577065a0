// Remaining time and slack of jobs.
#include <CppUTest/TestHarness.h>

#include "scheduling/job-slack.h"

using namespace kestrelreel;

namespace {

time_estimate estimate(int expected_ms, int high_ms) {
  return {milliseconds(expected_ms), milliseconds(high_ms)};
}

}  // namespace

TEST_GROUP(job_slack){};

TEST(job_slack, remaining_time_follows_the_progress) {
  struct row {
    int worked_ms;
    uint32_t percent;
    int expected_ms;
    uint32_t first_percent = 0;
  };
  // A kind that takes 4 s.
  const row rows[] = {{0, 0, 4'000},
                      {500, 0, 4'000},
                      {2'000, 50, 2'000},
                      {4'000, 50, 3'000},
                      {1'000, 50, 1'500},
                      {9'000, 90, 940},
                      {4'000, 100, 0},
                      {4'000, 250, 0},
                      {20'000, 0, 4'000},
                      // First heard of at 50 percent, nothing gained; half of
                      // the rest in 1 s; progress that ran back.
                      {0, 50, 2'000, 50},
                      {3'000, 50, 2'000, 50},
                      {1'000, 75, 1'000, 50},
                      {9'000, 30, 2'800, 50},
                      {1'000, 30, 2'800, 4'000'000}};
  for (const row& it : rows) {
    const time_estimate out =
        remaining_time(estimate(4'000, 4'000), milliseconds(it.worked_ms),
                       it.percent, it.first_percent);
    LONGS_EQUAL(it.expected_ms, out.expected.count());
  }
}

TEST(job_slack, critical_path_is_the_longest_chain) {
  struct row {
    const char* name;
    std::vector<step_work> steps;
    int expected_ms;
    int high_ms;
  };
  const row rows[] = {
      {"no steps", {}, 0, 0},
      {"one", {{{}, estimate(5, 7)}}, 5, 7},
      {"chain", {{{}, estimate(5, 7)}, {{0}, estimate(3, 9)}}, 8, 16},
      {"first is done", {{{}, {}}, {{0}, estimate(3, 9)}}, 3, 9},
      {"side by side", {{{}, estimate(5, 7)}, {{}, estimate(3, 9)}}, 5, 9},
      {"two into one",
       {{{}, estimate(5, 7)}, {{}, estimate(3, 9)}, {{0, 1}, estimate(1, 1)}},
       6,
       10},
      {"unknown dependency", {{{4}, estimate(5, 7)}}, 5, 7}};
  for (const row& it : rows) {
    const time_estimate out = critical_path(it.steps);
    LONGS_EQUAL_TEXT(it.expected_ms, out.expected.count(), it.name);
    LONGS_EQUAL_TEXT(it.high_ms, out.high.count(), it.name);
  }
}

TEST(job_slack, time_after_a_step_leaves_out_the_step) {
  const std::vector<step_work> steps{
      {{}, estimate(5, 7)}, {{0}, estimate(3, 9)}, {{1}, estimate(1, 2)}};
  const auto after = time_after(steps);
  LONGS_EQUAL(4, after[0].expected.count());
  LONGS_EQUAL(11, after[0].high.count());
  LONGS_EQUAL(1, after[1].expected.count());
  LONGS_EQUAL(0, after[2].expected.count());
}

TEST(job_slack, slack_allows_for_nine_of_ten_runs) {
  const time_point now(50'000);
  LONGS_EQUAL(
      1'000,
      slack_of(estimate(2'000, 4'000), now, now + milliseconds(5'000)).count());
  LONGS_EQUAL(
      -500,
      slack_of(estimate(2'000, 4'000), now, now + milliseconds(3'500)).count());
}

TEST(job_slack, least_slack_counts_the_work_ahead) {
  struct row {
    const char* name;
    std::vector<due_work> jobs;
    double cores;
    int64_t least_ms;
  };
  const time_point now(50'000);
  const auto job = [&](double work, int path_ms, int due_ms) {
    return due_work{work, estimate(path_ms, path_ms),
                    now + milliseconds(due_ms)};
  };
  const auto uncertain = [&](int expected_ms, int high_ms, int due_ms) {
    return due_work{1, estimate(expected_ms, high_ms),
                    now + milliseconds(due_ms)};
  };
  const row rows[] = {
      {"no jobs", {}, 10, milliseconds::max().count()},
      {"own path binds", {job(10, 2'000, 5'000)}, 10, 3'000},
      {"processors bind", {job(40, 2'000, 5'000)}, 10, 1'000},
      {"work ahead binds",
       {job(40, 1'000, 9'000), job(40, 1'000, 10'000)},
       10,
       2'000},
      {"not all in time",
       {job(40, 1'000, 5'000), job(40, 1'000, 6'000)},
       10,
       -2'000},
      {"late by its own path does not count",
       {job(40, 6'000, 5'000), job(10, 1'000, 6'000)},
       10,
       5'000},
      {"in time only as expected",
       {uncertain(2'000, 6'000, 5'000)},
       10,
       -1'000},
      {"expected to be late",
       {uncertain(5'001, 6'000, 5'000)},
       10,
       milliseconds::max().count()},
      {"no processors", {job(40, 1'000, 5'000)}, 0, 5'000 - 1'000'000'000}};
  for (const row& it : rows) {
    LONGS_EQUAL_TEXT(it.least_ms, least_slack(it.jobs, it.cores, now).count(),
                     it.name);
  }
}

// Jobs passed over in overload.
#include <CppUTest/TestHarness.h>

#include <algorithm>

#include "scheduling/overload-order.h"

using namespace kestrelreel;

namespace {

constexpr time_point now(50'000);

due_job job(double work, int due_ms, bool optional = true) {
  return {work, now + milliseconds(due_ms), optional};
}

/// How many jobs end by their deadlines if those that are not passed over go
/// first, each group by deadline.
size_t in_time(const std::vector<due_job>& jobs, const std::vector<bool>& last,
               double cores) {
  std::vector<due_job> order;
  for (const bool passed : {false, true}) {
    std::vector<due_job> group;
    for (size_t i = 0; i < jobs.size(); ++i) {
      if (last[i] == passed) group.push_back(jobs[i]);
    }
    std::stable_sort(
        group.begin(), group.end(),
        [](const auto& a, const auto& b) { return a.deadline < b.deadline; });
    order.insert(order.end(), group.begin(), group.end());
  }
  double work = 0;
  size_t n = 0;
  for (const due_job& it : order) {
    work += it.work;
    if (work / cores * 1'000 <=
        static_cast<double>((it.deadline - now).count()))
      ++n;
  }
  return n;
}

}  // namespace

TEST_GROUP(overload_order){};

TEST(overload_order, jobs_are_passed_over_only_in_overload) {
  struct row {
    const char* name;
    std::vector<due_job> jobs;
    double cores;
    std::vector<bool> expected;
  };
  const row rows[] = {
      {"none", {}, 10, {}},
      {"all fit", {job(10, 1'000), job(10, 2'000)}, 10, {false, false}},
      {"the largest yields",
       {job(10, 2'000), job(15, 2'000), job(10, 2'000)},
       10,
       {false, true, false}},
      {"a later small one keeps an earlier large one waiting",
       {job(30, 3'000), job(10, 3'500), job(10, 3'500)},
       10,
       {true, false, false}},
      {"alone too large", {job(50, 1'000), job(5, 1'000)}, 10, {true, false}},
      {"required stays",
       {job(10, 2'000), job(15, 2'000, false), job(10, 2'000)},
       10,
       {true, false, true}},
      {"required that is late anyway displaces none",
       {job(10, 1'000), job(50, 2'000, false)},
       10,
       {false, false}},
      {"no processors", {job(10, 1'000)}, 0, {false}},
      {"negative work", {job(-5, 1'000), job(10, 1'000)}, 10, {false, false}}};
  for (const row& it : rows) {
    CHECK_TRUE_TEXT(it.expected == jobs_to_pass_over(it.jobs, it.cores, now),
                    it.name);
  }
}

// Equal jobs whose work exceeds the processors by a quarter: by deadline alone
// nearly all of them are late by little.
TEST(overload_order, more_jobs_are_in_time_than_by_deadline_alone) {
  std::vector<due_job> jobs;
  for (int i = 0; i < 40; ++i)
    jobs.push_back(job(5 + i % 4 * 5, 1'000 + i * 100));
  const double cores = 80;
  const std::vector<bool> none(jobs.size(), false);
  const std::vector<bool> passed = jobs_to_pass_over(jobs, cores, now);
  CHECK_TRUE(in_time(jobs, passed, cores) > in_time(jobs, none, cores));
  // All that are not passed over are in time.
  const auto n =
      static_cast<size_t>(std::count(passed.begin(), passed.end(), false));
  CHECK_TRUE(in_time(jobs, passed, cores) >= n);
}

// Jobs passed over in overload.
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <random>

#include "scheduling/overload-order.h"
#include "scheduling/work-time.h"

using namespace kestrelreel;

namespace {

constexpr time_point now(50'000);

due_job job(double work, int due_ms, bool optional = true, int path_ms = 0) {
  return {work, milliseconds(path_ms), now + milliseconds(due_ms), !optional};
}

/// Jobs of 1 core-second that takes a second, due 80 ms after one another: 10
/// processors do the work of one in 100 ms.
std::vector<due_job> narrow_jobs(int n) {
  std::vector<due_job> out;
  for (int i = 0; i < n; ++i)
    out.push_back(job(1, 1'000 + 80 * i, true, 1'000));
  return out;
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

/// Time within which the work of the job must be done.
milliseconds within(const due_job& it, double cores) {
  return it.deadline - now -
         std::max(it.path - time_for(it.work, cores), milliseconds(0));
}

/// True if all jobs in `served` are in time, in the order of due times, but for
/// those that must be served and are late with the like of them alone.
bool all_in_time(const std::vector<due_job>& jobs,
                 const std::vector<bool>& served, double cores) {
  std::vector<size_t> order;
  for (size_t i = 0; i < jobs.size(); ++i) order.push_back(i);
  std::stable_sort(order.begin(), order.end(), [&](size_t a, size_t b) {
    return within(jobs[a], cores) < within(jobs[b], cores);
  });
  double work = 0;
  double required = 0;
  for (const size_t i : order) {
    const due_job& it = jobs[i];
    if (!served[i]) continue;
    work += it.work;
    if (it.must_be_served) required += it.work;
    const bool late_alone =
        it.must_be_served && time_for(required, cores) > within(it, cores);
    if (!late_alone && time_for(work, cores) > within(it, cores)) return false;
  }
  return true;
}

/// The most jobs that can be served, by trying all subsets.
size_t most_served(const std::vector<due_job>& jobs, double cores) {
  size_t most = 0;
  for (unsigned set = 0; set < 1U << jobs.size(); ++set) {
    std::vector<bool> served;
    bool has_required = true;
    for (size_t i = 0; i < jobs.size(); ++i) {
      served.push_back((set >> i & 1U) != 0);
      has_required = has_required && (served.back() || !jobs[i].must_be_served);
    }
    if (!has_required || !all_in_time(jobs, served, cores)) continue;
    most = std::max(most, static_cast<size_t>(
                              std::count(served.begin(), served.end(), true)));
  }
  return most;
}

enum class required_jobs { none, early, anywhere };

std::vector<due_job> random_jobs(std::mt19937& random, required_jobs required) {
  const auto draw = [&](int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(random);
  };
  std::vector<due_job> jobs;
  const int n = draw(1, 8);
  for (int i = 0; i < n; ++i) {
    jobs.push_back(job(draw(0, 20), draw(500, 5'000), true, draw(0, 2'000)));
  }
  if (required == required_jobs::none) return jobs;
  jobs.back().must_be_served = true;
  if (required == required_jobs::early)
    jobs.back().deadline = now - milliseconds(draw(0, 3'000));
  return jobs;
}

}  // namespace

TEST_GROUP(overload_order){};

TEST(overload_order, jobs_are_passed_over_only_in_overload) {
  struct row {
    const char* name;
    std::vector<due_job> jobs;
    double cores;
    std::vector<bool> expected;
    double work_ahead = 0;
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
      {"required that is late anyway keeps no hopeless one",
       {job(30, 2'000, false), job(10, 2'500), job(10, 4'100)},
       10,
       {false, true, false}},
      {"a path must be begun before the deadline",
       narrow_jobs(7),
       10,
       {false, true, false, false, false, false, true}},
      {"a path that the work exceeds anyway",
       {job(20, 2'000, true, 2'000)},
       10,
       {false}},
      {"more urgent work fits as well", {job(10, 2'000)}, 10, {false}, 10},
      {"more urgent work leaves no room", {job(10, 2'000)}, 10, {true}, 11},
      {"more urgent work leaves room for the smaller",
       {job(10, 2'000), job(5, 2'000)},
       10,
       {true, false},
       10},
      {"more urgent work below 0", {job(10, 1'000)}, 10, {false}, -5},
      {"hours of work",
       {job(1e12, 3'600'000, true, 3'600'000), job(10, 1'000)},
       10,
       {true, false}},
      {"no processors", {job(10, 1'000)}, 0, {false}},
      {"negative work", {job(-5, 1'000), job(10, 1'000)}, 10, {false, false}}};
  for (const row& it : rows) {
    const std::vector<bool> passed =
        jobs_to_pass_over(it.jobs, it.cores, it.work_ahead, now);
    CHECK_TRUE_TEXT(it.expected == passed, it.name);
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
  const std::vector<bool> passed = jobs_to_pass_over(jobs, cores, 0, now);
  CHECK_TRUE(in_time(jobs, passed, cores) > in_time(jobs, none, cores));
  // All that are not passed over are in time.
  const auto n =
      static_cast<size_t>(std::count(passed.begin(), passed.end(), false));
  CHECK_TRUE(in_time(jobs, passed, cores) >= n);
}

TEST(overload_order, as_many_are_served_as_by_trying_all_subsets) {
  constexpr int trials = 500;
  constexpr double cores = 10;
  for (const required_jobs required :
       {required_jobs::none, required_jobs::early, required_jobs::anywhere}) {
    std::mt19937 random(1);
    for (int trial = 0; trial < trials; ++trial) {
      const std::vector<due_job> jobs = random_jobs(random, required);
      std::vector<bool> served = jobs_to_pass_over(jobs, cores, 0, now);
      served.flip();
      CHECK_TRUE(all_in_time(jobs, served, cores));
      const bool late_later =
          required == required_jobs::anywhere &&
          time_for(jobs.back().work, cores) > within(jobs.back(), cores);
      if (late_later) continue;
      LONGS_EQUAL(most_served(jobs, cores),
                  std::count(served.begin(), served.end(), true));
    }
  }
}

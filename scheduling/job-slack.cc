#include "scheduling/job-slack.h"

#include <algorithm>

#include "scheduling/work-time.h"

namespace kestrelreel {
namespace detail {

constexpr int64_t full_percent = 100;

}  // namespace detail

time_estimate remaining_time(const time_estimate& whole, milliseconds worked,
                             uint32_t percent, uint32_t first_percent) {
  const int64_t done = std::min<int64_t>(percent, detail::full_percent);
  const int64_t left = detail::full_percent - done;
  const int64_t gained = done - first_percent;
  const auto remaining = [&](milliseconds whole_run) {
    const milliseconds by_kind = whole_run * left / detail::full_percent;
    if (gained <= 0) return by_kind;
    const milliseconds by_pace = worked * left / gained;
    return (by_kind * (detail::full_percent - gained) + by_pace * gained) /
           detail::full_percent;
  };
  return {remaining(whole.expected), remaining(whole.high)};
}

std::vector<time_estimate> time_after(std::span<const step_work> steps) {
  std::vector<time_estimate> after(steps.size());
  for (size_t i = steps.size(); i-- > 0;) {
    const time_estimate from_start{
        after[i].expected + steps[i].remaining.expected,
        after[i].high + steps[i].remaining.high};
    for (const uint32_t on : steps[i].depends_on) {
      if (on >= i) continue;
      after[on].expected = std::max(after[on].expected, from_start.expected);
      after[on].high = std::max(after[on].high, from_start.high);
    }
  }
  return after;
}

time_estimate critical_path(std::span<const step_work> steps) {
  const std::vector<time_estimate> after = time_after(steps);
  time_estimate longest;
  for (size_t i = 0; i < steps.size(); ++i) {
    const time_estimate& own = steps[i].remaining;
    longest.expected =
        std::max(longest.expected, own.expected + after[i].expected);
    longest.high = std::max(longest.high, own.high + after[i].high);
  }
  return longest;
}

milliseconds slack_of(const time_estimate& path, time_point now,
                      time_point deadline) {
  return deadline - now - path.high;
}

milliseconds least_slack(std::vector<due_work> jobs, double cores,
                         time_point now) {
  std::erase_if(jobs, [&](const auto& it) {
    return it.deadline - now < it.path.expected;
  });
  std::sort(jobs.begin(), jobs.end(), [](const auto& a, const auto& b) {
    return a.deadline < b.deadline;
  });
  milliseconds least = milliseconds::max();
  double work = 0;
  for (const due_work& it : jobs) {
    work += it.core_seconds;
    const milliseconds shared = time_for(work, cores);
    least = std::min(least, it.deadline - now - std::max(it.path.high, shared));
  }
  return least;
}

}  // namespace kestrelreel

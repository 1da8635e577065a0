#include "scheduling/job-slack.h"

#include <algorithm>

namespace kestrelreel {
namespace detail {

constexpr uint32_t full_percent = 100;

}  // namespace detail

time_estimate remaining_time(const time_estimate& whole, milliseconds elapsed,
                             uint32_t percent) {
  const auto done =
      static_cast<int64_t>(std::min(percent, detail::full_percent));
  const int64_t left = static_cast<int64_t>(detail::full_percent) - done;
  const time_estimate declared{whole.expected * left / 100,
                               whole.high * left / 100};
  if (done == 0) return declared;
  const milliseconds paced = elapsed * left / done;
  const auto blend = [&](milliseconds it) {
    return (it * left + paced * done) / 100;
  };
  return {blend(declared.expected), blend(declared.high)};
}

time_estimate critical_path(std::span<const step_work> steps) {
  std::vector<time_estimate> ends;
  time_estimate longest;
  for (const step_work& it : steps) {
    time_estimate start;
    for (const uint32_t on : it.depends_on) {
      if (on >= ends.size()) continue;
      start.expected = std::max(start.expected, ends[on].expected);
      start.high = std::max(start.high, ends[on].high);
    }
    ends.push_back({start.expected + it.remaining.expected,
                    start.high + it.remaining.high});
    longest.expected = std::max(longest.expected, ends.back().expected);
    longest.high = std::max(longest.high, ends.back().high);
  }
  return longest;
}

milliseconds slack_of(const time_estimate& path, time_point now,
                      time_point deadline) {
  return deadline - now - path.high;
}

}  // namespace kestrelreel

#include "scheduling/overload-order.h"

#include <algorithm>
#include <compare>
#include <cstddef>
#include <queue>

#include "scheduling/work-time.h"

namespace kestrelreel {
namespace detail {

/// A job, and the time within which the pool must have done its work.
struct due_work {
  milliseconds within{0};
  size_t job = 0;
  auto operator<=>(const due_work&) const = default;
};

/// A job that may be passed over; the largest is first to be.
struct optional_work {
  double work = 0;
  size_t job = 0;
  auto operator<=>(const optional_work&) const = default;
};

/// A job ends no sooner than its path allows, however soon it could be worked
/// off by all processors.
milliseconds time_within(const due_job& it, double cores, time_point now) {
  const milliseconds beyond = it.path - time_for(it.work, cores);
  return it.deadline - now - std::max(beyond, milliseconds(0));
}

std::vector<due_work> by_due_time(std::span<const due_job> jobs, double cores,
                                  time_point now) {
  std::vector<due_work> out;
  out.reserve(jobs.size());
  for (size_t i = 0; i < jobs.size(); ++i)
    out.push_back({time_within(jobs[i], cores, now), i});
  std::sort(out.begin(), out.end());
  return out;
}

}  // namespace detail

std::vector<bool> jobs_to_pass_over(std::span<const due_job> jobs, double cores,
                                    double work_ahead, time_point now) {
  std::vector<bool> out(jobs.size(), false);
  if (cores <= 0) return out;
  // The jobs served so far that may be passed over.
  std::priority_queue<detail::optional_work> optional;
  double required = std::max(work_ahead, 0.0);
  double work = required;
  for (const auto& [within, i] : detail::by_due_time(jobs, cores, now)) {
    const bool must = jobs[i].must_be_served;
    const double own = std::max(jobs[i].work, 0.0);
    if (must) required += own;
    const double least = must ? required : required + own;
    if (time_for(least, cores) > within) {
      // Late whichever others give way.
      out[i] = !must;
      if (must) work += own;
      continue;
    }
    work += own;
    if (!must) optional.push({own, i});
    while (time_for(work, cores) > within && !optional.empty()) {
      work -= optional.top().work;
      out[optional.top().job] = true;
      optional.pop();
    }
  }
  return out;
}

}  // namespace kestrelreel

#include "scheduling/overload-order.h"

#include <algorithm>
#include <cstdint>
#include <numeric>
#include <queue>
#include <utility>

namespace kestrelreel {
namespace detail {

constexpr double ms_per_s = 1'000;

/// True if the job must be served now if it can.
bool is_due_for_service(const due_job& it, const overload_limits& limits,
                        time_point now) {
  return now - it.passed_over_since >= limits.max_passed_over;
}

}  // namespace detail

std::vector<bool> jobs_to_pass_over(std::span<const due_job> jobs,
                                    const overload_limits& limits,
                                    time_point now) {
  std::vector<bool> out(jobs.size(), false);
  if (limits.cores <= 0) return out;
  std::vector<size_t> order(jobs.size());
  std::iota(order.begin(), order.end(), size_t{0});
  std::stable_sort(order.begin(), order.end(), [&](size_t a, size_t b) {
    return jobs[a].deadline < jobs[b].deadline;
  });
  // The jobs served so far that may be passed over, the largest first.
  std::priority_queue<std::pair<double, size_t>> served;
  double work = 0;
  for (const size_t i : order) {
    const due_job& it = jobs[i];
    const double own = std::max(it.work, 0.0);
    work += own;
    if (!detail::is_due_for_service(it, limits, now)) served.emplace(own, i);
    const double left_ms = static_cast<double>((it.deadline - now).count());
    while (!served.empty() &&
           work / limits.cores * detail::ms_per_s > left_ms) {
      work -= served.top().first;
      out[served.top().second] = true;
      served.pop();
    }
  }
  return out;
}

}  // namespace kestrelreel

#include "scheduling/overload-order.h"

#include <algorithm>
#include <cstddef>
#include <numeric>
#include <queue>
#include <utility>

#include "scheduling/work-time.h"

namespace kestrelreel {
namespace detail {

std::vector<size_t> by_deadline(std::span<const due_job> jobs) {
  std::vector<size_t> order(jobs.size());
  std::iota(order.begin(), order.end(), size_t{0});
  std::stable_sort(order.begin(), order.end(), [&](size_t a, size_t b) {
    return jobs[a].deadline < jobs[b].deadline;
  });
  return order;
}

}  // namespace detail

std::vector<bool> jobs_to_pass_over(std::span<const due_job> jobs, double cores,
                                    time_point now) {
  std::vector<bool> out(jobs.size(), false);
  if (cores <= 0) return out;
  // The jobs served so far that may be passed over, the largest first.
  std::priority_queue<std::pair<double, size_t>> optional;
  double work = 0;
  double required = 0;
  for (const size_t i : detail::by_deadline(jobs)) {
    const due_job& it = jobs[i];
    const double own = std::max(it.work, 0.0);
    work += own;
    if (it.may_be_passed_over) {
      optional.emplace(own, i);
    } else {
      required += own;
    }
    if (time_for(required, cores) > it.deadline - now) continue;
    while (!optional.empty() && time_for(work, cores) > it.deadline - now) {
      work -= optional.top().first;
      out[optional.top().second] = true;
      optional.pop();
    }
  }
  return out;
}

}  // namespace kestrelreel

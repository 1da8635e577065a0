// Work that competes for a pool, and the jobs that give way when not all can be
// in time.
#include <algorithm>
#include <map>
#include <tuple>
#include <utility>
#include <vector>

#include "fleet/scheduler.h"
#include "kernel/log.h"
#include "scheduling/overload-order.h"

namespace kestrelreel {
namespace detail {

constexpr const char* service_name = "scheduler";
/// How often the choice is made: short against the objectives of jobs.
constexpr milliseconds overload_review_interval{200};
/// A job that gave way goes first from this multiple of its objective on: an
/// end after `late_factor` of them is of no use.
constexpr int64_t max_passed_over_objectives = 2;

/// Jobs that compete for the same processors on equal terms.
using job_group = std::tuple<std::string, bool, uint32_t>;

}  // namespace detail

/// True for a job with tasks to place: one that only runs gives way to nobody.
bool fleet_scheduler::may_be_passed_over(const job_entry& job) {
  const auto& steps = job.times.front();
  return std::any_of(steps.begin(), steps.end(), [](const auto& it) {
    return it.done + it.running < it.tasks.size();
  });
}

/// True for a job that gave way and has become late: it then goes first, so
/// that its end is still of use.
bool fleet_scheduler::was_passed_over_for_long(const job_tracking& tracking,
                                               job_number number) {
  return tracking.passed_over_since &&
         clock_.now() - tracking.accepted >=
             progress_.objective(number) * detail::max_passed_over_objectives;
}

void fleet_scheduler::pass_over(job_number number, bool passed) {
  job_tracking& tracking = tracking_of(number);
  if (std::exchange(tracking.passed_over, passed) == passed) return;
  if (passed) {
    ++passed_over_;
    if (!tracking.passed_over_since) tracking.passed_over_since = clock_.now();
  }
  log_event(detail::service_name, log_level::info, "job-passed-over")
      .with("job", to_text(number))
      .with("passed-over", passed ? "yes" : "no")
      .with("core-seconds", progress_.remaining_work(number))
      .with("age-ms", (clock_.now() - tracking.accepted).count())
      .with("objective-ms", progress_.objective(number).count());
}

void fleet_scheduler::review_overload() {
  const time_point now = clock_.now();
  if (now - overload_reviewed_at_ < detail::overload_review_interval) return;
  overload_reviewed_at_ = now;
  std::map<detail::job_group,
           std::pair<std::vector<job_number>, std::vector<due_job>>>
      groups;
  for (const auto& [order, number] : book_.live()) {
    const job_entry& job = *book_.find(number);
    const fleet::queue_route& queue = book_.queue_of(job);
    if (job.spec.times() > 0 || is_long_running(job)) continue;
    const time_point accepted = tracking_of(number).accepted;
    const time_point deadline = accepted + progress_.objective(number);
    if (now + progress_.remaining(number).expected > deadline) {
      pass_over(number, false);
      continue;
    }
    auto& [numbers, jobs] =
        groups[{queue.pool(), has_backfill(job.spec), queue.priority()}];
    numbers.push_back(number);
    jobs.push_back(
        {progress_.remaining_work(number), deadline, may_be_passed_over(job)});
  }
  for (const auto& [group, members] : groups) {
    const auto& [numbers, jobs] = members;
    const double cores = usable_cores(std::get<0>(group), std::get<1>(group));
    const std::vector<bool> passed = jobs_to_pass_over(jobs, cores, now);
    for (size_t i = 0; i < numbers.size(); ++i)
      pass_over(numbers[i], passed[i]);
  }
}

}  // namespace kestrelreel

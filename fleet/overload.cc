// Work that competes for a pool, and the jobs that give way when not all can be
// in time.
#include <algorithm>
#include <compare>
#include <map>
#include <utility>
#include <vector>

#include "fleet/scheduler.h"
#include "kernel/log.h"
#include "scheduling/overload-order.h"
#include "scheduling/work-time.h"

namespace kestrelreel {
namespace detail {

constexpr const char* service_name = "scheduler";
constexpr int64_t percent = 100;
/// How often the choice is made: short against the objectives of jobs.
constexpr milliseconds overload_review_interval{200};
/// A job that gave way goes first from this multiple of its objective on: an
/// end after `late_factor` of them is of no use.
constexpr int64_t return_after_objectives = 2;

/// Processors that jobs compete for.
struct shared_processors {
  std::string pool;
  bool backfill = false;
  auto operator<=>(const shared_processors&) const = default;
};

}  // namespace detail

/// Jobs of one priority that compete for the same processors.
struct fleet_scheduler::contenders {
  std::vector<job_number> numbers;
  std::vector<due_job> jobs;
  // Late jobs that gave way, the oldest first.
  std::vector<job_number> gave_way;
};

void fleet_scheduler::begin_leadership(time_point capacity_known_at) {
  for (auto& [number, it] : tracked_jobs_) it.overload = {};
  overload_review_due_ = capacity_known_at;
}

job_order fleet_scheduler::order_in_overload(job_number number,
                                             const job_entry& job) {
  const job_tracking& tracking = tracking_of(number);
  job_order order = order_of(
      job, book_.queue_of(job), progress_.objective(number),
      progress_.remaining(number).expected, tracking.accepted, clock_.now());
  if (order.standing == job_standing::in_time && tracking.overload.passed_over)
    order.standing = job_standing::passed_over;
  if (order.standing == job_standing::late && tracking.overload.goes_first)
    order.standing = job_standing::in_time;
  return order;
}

void fleet_scheduler::pass_over(job_number number, bool passed) {
  overload_state& state = tracking_of(number).overload;
  state.passed_over = passed;
  if (!passed || std::exchange(state.passing_reported, true)) return;
  ++passed_over_;
  log_overload("job-passed-over", number);
}

void fleet_scheduler::go_first(job_number number) {
  overload_state& state = tracking_of(number).overload;
  state.goes_first = true;
  if (std::exchange(state.return_reported, true)) return;
  ++gone_first_;
  log_overload("job-goes-first", number);
}

void fleet_scheduler::log_overload(const char* event, job_number number) {
  log_event(detail::service_name, log_level::info, event)
      .with("job", to_text(number))
      .with("core-seconds", progress_.waiting_work(number))
      .with("age-ms", (clock_.now() - tracking_of(number).accepted).count())
      .with("objective-ms", progress_.objective(number).count());
}

/// Adds the job to those that the choice is made from, if it has tasks to start
/// and can be in time, or to those that gave way. One that only runs gives way
/// to nobody.
void fleet_scheduler::add_contender(job_number number, contenders& group) {
  job_tracking& tracking = tracking_of(number);
  overload_state& state = tracking.overload;
  state.goes_first = false;
  const due_job it{progress_.waiting_work(number),
                   progress_.remaining(number).expected,
                   tracking.accepted + progress_.objective(number)};
  if (clock_.now() + it.path > it.deadline) {
    state.gave_way = state.gave_way || state.passed_over;
    pass_over(number, false);
    if (state.gave_way && it.work > 0) group.gave_way.push_back(number);
    return;
  }
  if (it.work <= 0) return pass_over(number, false);
  group.numbers.push_back(number);
  group.jobs.push_back(it);
}

/// True for a late job whose end would still be of use if it went first.
bool fleet_scheduler::may_return(job_number number, double cores) {
  const milliseconds age = clock_.now() - tracking_of(number).accepted;
  const milliseconds objective = progress_.objective(number);
  const milliseconds left =
      std::max(progress_.remaining(number).expected,
               time_for(progress_.waiting_work(number), cores));
  return age >= objective * detail::return_after_objectives &&
         age + left <= objective * late_factor;
}

/// Nobody starves: the oldest job that gave way goes first while that is of
/// use, one at a time. The others have to make room for it.
void fleet_scheduler::let_one_return(contenders& group, double cores) {
  const auto it = std::find_if(
      group.gave_way.begin(), group.gave_way.end(),
      [&](job_number number) { return may_return(number, cores); });
  if (it == group.gave_way.end()) return;
  go_first(*it);
  group.numbers.push_back(*it);
  group.jobs.push_back(
      {progress_.waiting_work(*it), progress_.remaining(*it).expected,
       tracking_of(*it).accepted + progress_.objective(*it), true});
}

/// Returns the work of the jobs that are served, in core-seconds.
double fleet_scheduler::choose_served(contenders& group, double cores,
                                      double work_ahead) {
  let_one_return(group, cores);
  const std::vector<bool> passed =
      jobs_to_pass_over(group.jobs, cores, work_ahead, clock_.now());
  double work = 0;
  for (size_t i = 0; i < group.jobs.size(); ++i) {
    pass_over(group.numbers[i], passed[i]);
    if (!passed[i]) work += group.jobs[i].work;
  }
  return work;
}

/// Work in core-seconds that keeps its processors until it ends. Without
/// learned run times nothing is known of how far it is.
double fleet_scheduler::running_work(job_number number) {
  if (!settings_.decisions.learn_run_times) return 0;
  return progress_.remaining_work(number) - progress_.waiting_work(number);
}

/// Ahead of the jobs of a priority come the more urgent ones that are served,
/// and what runs.
void fleet_scheduler::review_overload() {
  struct competition {
    double running = 0;
    std::map<uint32_t, contenders> by_priority;
  };
  const time_point now = clock_.now();
  if (now < overload_review_due_) return;
  overload_review_due_ = now + detail::overload_review_interval *
                                   stretch_percent_ / detail::percent;
  std::map<detail::shared_processors, competition> all;
  for (const auto& [order, number] : book_.live()) {
    const job_entry& job = *book_.find(number);
    if (job.spec.times() > 0 || is_long_running(job)) continue;
    const fleet::queue_route& queue = book_.queue_of(job);
    competition& it = all[{queue.pool(), has_backfill(job.spec)}];
    it.running += running_work(number);
    add_contender(number, it.by_priority[queue.priority()]);
  }
  for (auto& [shared, it] : all) {
    const double cores = usable_cores(shared.pool, shared.backfill);
    double work = it.running;
    for (auto& [priority, group] : it.by_priority)
      work += choose_served(group, cores, work);
  }
}

}  // namespace kestrelreel

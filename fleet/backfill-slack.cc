// How long backfill runs may stand still without making a job late.
#include <algorithm>

#include "fleet/scheduler.h"
#include "kernel/log.h"

namespace kestrelreel {
namespace detail {

constexpr const char* service_name = "scheduler";
/// How long a pool's slack is used before it is computed anew.
constexpr milliseconds pool_slack_lifetime{250};
/// Logged in place of the slack of a pool without due jobs.
constexpr milliseconds max_logged_slack = max_run_time;

}  // namespace detail

void fleet_scheduler::reset_slack() {
  pool_slacks_.clear();
  last_inherited_order_ =
      book_.live().empty() ? 0 : book_.live().rbegin()->first;
}

/// Least slack of the pool's backfill jobs if they share its processors in the
/// order of their deadlines. A processor that one of them loses is lost to all
/// that follow, so that no job has more slack than this. At most zero while a
/// job whose age is unknown may still end by its deadline.
milliseconds fleet_scheduler::pool_slack(const std::string& pool) {
  const time_point now = clock_.now();
  known_slack& out = pool_slacks_[pool];
  if (out.at != time_point{} && now - out.at < detail::pool_slack_lifetime)
    return out.least;
  std::vector<due_work> jobs;
  milliseconds least = milliseconds::max();
  for (const auto& [order, number] : book_.live()) {
    const job_entry& job = *book_.find(number);
    if (!has_backfill(job.spec) || job.spec.times() > 0 ||
        book_.queue_of(job).pool() != pool)
      continue;
    const due_work it{
        progress_.remaining_work(number), progress_.remaining(number),
        tracking_of(number).accepted + progress_.objective(number)};
    if (it.core_seconds <= 0) continue;
    const bool may_be_in_time = it.deadline - now >= it.path.expected;
    if (order <= last_inherited_order_ && may_be_in_time)
      least = milliseconds(0);
    jobs.push_back(it);
  }
  const double cores = usable_cores(pool, true);
  const bool had_slack = out.least > milliseconds(0);
  out = {now, std::min(least, least_slack(jobs, cores, now))};
  if (had_slack != (out.least > milliseconds(0)))
    log_pool_slack(pool, out.least, jobs.size(), cores);
  return out.least;
}

void fleet_scheduler::log_pool_slack(const std::string& pool,
                                     milliseconds least, size_t jobs,
                                     double cores) {
  log_event(detail::service_name, log_level::info, "backfill-slack")
      .with("pool", pool)
      .with("least-ms", std::min(least, detail::max_logged_slack).count())
      .with("jobs", jobs)
      .with("cores", cores);
}

/// How long a backfill run may stand still without making a job late, even if a
/// task of its step then fails and runs anew. Zero for what has no deadline, or
/// none that is known.
milliseconds fleet_scheduler::backfill_slack(const run_key& run) {
  const job_entry* job = book_.find(run.task.job);
  const fleet::step_spec* step = book_.find_step(run.task);
  if (job == nullptr || step == nullptr || step->long_running() ||
      job->spec.times() > 0 || job->order <= last_inherited_order_)
    return milliseconds(0);
  const time_point deadline =
      tracking_of(run.task.job).accepted + progress_.objective(run.task.job);
  const milliseconds slack = std::min(progress_.slack(run, deadline),
                                      pool_slack(book_.queue_of(*job).pool()));
  return slack - progress_.run_time(*job, run.task.step).expected;
}

}  // namespace kestrelreel

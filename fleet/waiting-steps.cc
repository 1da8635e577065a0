// Orders pending jobs and decides which steps are tried now: retries of steps
// that did not fit, workers with freed capacity, and the share set aside for
// short jobs.
#include <algorithm>

#include "fleet/scheduler.h"

namespace kestrelreel {
namespace detail {

constexpr unsigned percent = 100;
constexpr double milli = 1'000;

}  // namespace detail

job_order fleet_scheduler::current_job_order(job_number number,
                                             const job_entry& job) {
  job_tracking& tracking = tracking_of(number);
  const time_point now = clock_.now();
  job_order order =
      settings_.decisions.overload_order
          ? order_in_overload(number, job)
          : order_of(job, book_.queue_of(job), tracking.accepted, now);
  if (order.standing != job_standing::long_running) return order;
  const auto waits_long = [&](const std::optional<time_point>& since) {
    return since && now - *since >= settings_.long_running_first_after;
  };
  if (const auto since = interrupted_since(number); waits_long(since)) {
    order.deadline = *since;
    order.standing = job_standing::interrupted;
    order.task_cpu = smallest_task_cpu(job);
  } else if (const auto due = new_tasks_due_since(number, job);
             waits_long(due)) {
    order.deadline = *due;
    order.standing = job_standing::in_time;
  }
  return order;
}

/// Since when tasks of the job that never started have been due, if any are.
std::optional<time_point> fleet_scheduler::new_tasks_due_since(
    job_number number, const job_entry& job) {
  const auto found_at = tracking_of(number).due_at;
  for (uint32_t time = 0; found_at && time < job.times.size(); ++time) {
    const auto due = due_since(job, time);
    if (!due) return std::nullopt;
    if (has_new_task(job.times[time])) return std::max(*found_at, *due);
  }
  return std::nullopt;
}

/// The beginning of the longest outage among the job's pending tasks.
std::optional<time_point> fleet_scheduler::interrupted_since(
    job_number number) const {
  std::optional<time_point> out;
  outages_.for_each(number, [&](const task_key& task, const task_outage& it) {
    if (!is_unplaced(task)) return;
    out = out ? std::min(*out, it.since) : it.since;
  });
  return out;
}

pool_use& fleet_scheduler::pool_use_of(const std::string& pool) {
  const auto [it, inserted] = pool_uses_.try_emplace(pool);
  if (!inserted) return it->second;
  for (const worker_view* worker : candidates()) {
    if (worker->beat.pool() != pool) continue;
    ++it->second.workers;
    it->second.cpu += worker->beat.cpu_milli();
    it->second.long_running += worker->load.serving_cpu;
    it->second.others += worker->load.cpu - worker->load.serving_cpu;
  }
  return it->second;
}

double fleet_scheduler::usable_cores(const std::string& pool, bool backfill) {
  const pool_use& use = pool_use_of(pool);
  uint64_t taken = use.long_running;
  if (backfill) {
    taken = use.long_running * settings_.serving_use_percent / detail::percent +
            use.others;
  }
  return static_cast<double>(use.cpu - std::min(use.cpu, taken)) /
         detail::milli;
}

/// Processors of the pool, in thousandths of a core, that are open to
/// long-running tasks that never started.
uint64_t fleet_scheduler::new_task_capacity(const std::string& pool,
                                            uint32_t priority,
                                            const job_tracking& tracking) {
  const time_point now = clock_.now();
  const pool_use& use = pool_use_of(pool);
  const auto share = [&](unsigned n) { return use.cpu * n / detail::percent; };
  const uint64_t demand = short_demand_.cpu_milli(priority, now) *
                          settings_.short_demand_percent / detail::percent;
  uint64_t reserved = std::min(demand, share(settings_.max_short_percent));
  const bool unknown =
      tracking.due_at && now - *tracking.due_at < settings_.short_demand_warmup;
  if (unknown)
    reserved = std::max(reserved, share(settings_.min_short_percent));
  // Whole workers only: a part of one does not fit a large task.
  const uint64_t per_worker =
      std::max<uint64_t>(1, use.cpu / std::max<uint64_t>(1, use.workers));
  reserved -= reserved % per_worker;
  return use.cpu - std::min(use.cpu, use.long_running + reserved);
}

/// True unless the step recently did not fit and its retry pause lasts.
bool fleet_scheduler::retry_is_due(const task_key& step) const {
  const auto it = retry_at_.find(step);
  return it == retry_at_.end() || clock_.now() >= it->second;
}

std::vector<worker_view*> fleet_scheduler::take_freed_workers() {
  std::vector<worker_view*> out;
  freed_max_ = {};
  workers_.groups().freed.retain_if([&](worker_view& it) {
    if (!std::exchange(it.freed, false) || !is_usable(it)) return false;
    if (only_open_ && !has_open_call(it)) return false;
    if (std::exchange(it.load_is_stale, false)) it.load = load_of(it);
    const auto rest = [](uint64_t all, uint64_t taken) {
      return all - std::min(all, taken);
    };
    freed_max_.cpu =
        std::max(freed_max_.cpu, rest(it.beat.cpu_milli(), it.load.cpu));
    freed_max_.memory_mb = std::max(
        freed_max_.memory_mb, rest(it.beat.memory_mb(), it.load.memory_mb));
    freed_max_.accelerators =
        std::max(freed_max_.accelerators,
                 rest(it.beat.accelerators(), it.load.accelerators));
    out.push_back(&it);
    return false;
  });
  return out;
}

/// False if no freed worker can have enough capacity for a task of the step.
bool fleet_scheduler::may_fit_on_freed_worker(
    const fleet::step_spec& spec) const {
  if (freed_.empty() || spec.fills() || spec.gang()) return false;
  return freed_max_.covers(
      {spec.cpu_milli(), spec.memory_mb(), spec.accelerators()});
}

/// Retries a step at once on workers on which runs ended since: else the answer
/// to the worker would carry no start, and the capacity would stay idle until
/// the next heartbeat. Backfill tasks do not wait for freed capacity.
bool fleet_scheduler::fits_on_freed_worker(const job_entry& job,
                                           const task_key& first) {
  const fleet::step_spec& spec = job.spec.steps(static_cast<int>(first.step));
  if (!may_fit_on_freed_worker(spec)) return false;
  const pending_step step = pending_step_of(job, first, false);
  count_evaluations(freed_.size());
  return std::any_of(freed_.begin(), freed_.end(), [&](const auto* it) {
    return fits(*it, step) && meets_constraints(*it, step);
  });
}

/// Long-running tasks have precedence: only short steps pause longer as more
/// steps are pending.
milliseconds fleet_scheduler::retry_pause(size_t workers,
                                          bool long_running) const {
  constexpr uint64_t ms_per_s = 1'000;
  const milliseconds alone = std::chrono::duration_cast<milliseconds>(
      settings_.retry_per_worker * workers);
  if (long_running) return alone;
  const milliseconds in_turn(
      static_cast<int64_t>(retry_at_.size() * workers * ms_per_s /
                           settings_.max_retry_evaluations_per_s));
  return std::max(alone, in_turn) * stretch_percent_ / detail::percent;
}

void fleet_scheduler::count_evaluations(uint64_t n) {
  evaluations_ += n;
  evaluations_left_ -= std::min(evaluations_left_, n);
}

}  // namespace kestrelreel

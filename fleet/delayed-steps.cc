// Finds long-running tasks that are pending for too long and logs why.
#include <algorithm>
#include <map>
#include <tuple>

#include "fleet/scheduler.h"
#include "kernel/log.h"

namespace kestrelreel {
namespace detail {

constexpr const char* service_name = "scheduler";
/// Waits below this are not logged.
constexpr milliseconds report_after{1'000};
/// Number of tasks of the step that fit into the capacity by their processors
/// and memory.
uint64_t places_for(const resources& available, const fleet::step_spec& spec) {
  const auto times = [](uint64_t all, uint64_t each) {
    return each == 0 ? UINT64_MAX : all / each;
  };
  return std::min({times(available.cpu, spec.cpu_milli()),
                   times(available.memory_mb, spec.memory_mb()),
                   uint64_t{1'000}});
}

}  // namespace detail

/// Since when the tasks of the `time`-th repetition may run; none if they are
/// not due yet. Jobs without a start time are due from the beginning.
std::optional<time_point> fleet_scheduler::due_since(const job_entry& job,
                                                     uint32_t time) const {
  const fleet::fleet_job_spec& spec = job.spec;
  if (spec.times() == 0) return time_point{};
  const uint64_t due = spec.start_ms() + time * spec.interval_ms();
  if (wall_ms_ < due) return std::nullopt;
  return wall_read_at_ - milliseconds(wall_ms_ - due);
}

/// True for a pending task without a proposed start.
bool fleet_scheduler::is_unplaced(const task_key& task) const {
  const task_entry* it = book_.find(task);
  return it != nullptr && it->phase == task_phase::waiting &&
         !is_proposed(task);
}

/// Number of the step's pending tasks without a proposed start: only the
/// interrupted ones, or all with `include_new`.
uint32_t fleet_scheduler::unplaced(const task_key& first,
                                   bool include_new) const {
  const job_entry* job = book_.find(first.job);
  if (job == nullptr || !job->live()) return 0;
  const auto& tasks = job->times[first.time][first.step].tasks;
  uint32_t n = 0;
  for (uint32_t i = 0; i < tasks.size(); ++i) {
    const task_key key{first.job, first.time, first.step, i};
    if (is_unplaced(key) && (include_new || is_interrupted(tasks[i]))) ++n;
  }
  return n;
}

/// Adds one entry for interrupted tasks whose outage lasts for `min_wait`, and
/// one that also counts new ones if those have been due for long.
void fleet_scheduler::add_delayed_steps(const job_entry& job,
                                        const task_key& first, time_point due,
                                        milliseconds min_wait,
                                        std::vector<delayed_step>& out) const {
  const auto& spec = job.spec.steps(static_cast<int>(first.step));
  if (!spec.long_running() || spec.gang()) return;
  const step_entry& step = job.times[first.time][first.step];
  if (step.done + step.running >= step.tasks.size()) return;
  if (!book_.dependencies_done(job, first.time, first.step)) return;
  const time_point now = clock_.now();
  delayed_step interrupted{
      book_.queue_of(job).priority(), now, first, 0, spec.cpu_milli(), false};
  outages_.for_each_of_step(first, [&](const task_key& task, const auto& it) {
    if (now - it.since < min_wait || !is_unplaced(task)) return;
    ++interrupted.tasks;
    interrupted.since = std::min(interrupted.since, it.since);
  });
  if (interrupted.tasks > 0) out.push_back(interrupted);
  // New tasks may wait longer: short jobs earn more with a processor.
  const uint32_t fresh = unplaced(first, true) - unplaced(first, false);
  if (fresh > 0 && now - due >= settings_.reserve_new_after) {
    out.push_back({interrupted.priority, due, first, interrupted.tasks + fresh,
                   spec.cpu_milli(), true});
  }
}

/// Steps with long-running tasks that have been out or due for `min_wait`,
/// ordered by priority, then interrupted tasks before new ones, then
/// smaller tasks first: if capacity is short, interrupted services resume and
/// more tasks serve.
std::vector<delayed_step> fleet_scheduler::delayed_steps(
    milliseconds min_wait) {
  std::vector<delayed_step> out;
  for (const auto& [order, number] : book_.live()) {
    const auto tracking = tracked_jobs_.find(number);
    if (tracking == tracked_jobs_.end() || !tracking->second.due_at) continue;
    const job_entry& job = *book_.find(number);
    for (uint32_t time = 0; time < job.times.size(); ++time) {
      const auto due = due_since(job, time);
      if (!due) break;
      const time_point since = std::max(*tracking->second.due_at, *due);
      for (uint32_t step = 0; step < job.times[time].size(); ++step) {
        add_delayed_steps(job, {number, time, step, 0}, since, min_wait, out);
      }
    }
  }
  std::stable_sort(out.begin(), out.end(), [](const auto& a, const auto& b) {
    return std::tie(a.priority, a.includes_new, a.cpu, a.since) <
           std::tie(b.priority, b.includes_new, b.cpu, b.since);
  });
  return out;
}

/// Capacity held on each usable worker by kind of run: backfill, short and less
/// urgent than `priority`, other short ones, and long-running.
std::vector<reclaimable> fleet_scheduler::reclaimable_for(uint32_t priority) {
  std::vector<reclaimable> out;
  for (worker_view* it : candidates()) {
    reclaimable& held = out.emplace_back(reclaimable{it, {}, {}, {}, {}});
    for (const run_key& run : book_.runs_on(it->id)) {
      const fleet::step_spec* spec = book_.find_step(run.task);
      if (spec == nullptr) continue;
      const job_entry& job = *book_.find(run.task.job);
      const bool less_urgent = book_.queue_of(job).priority() > priority;
      resources& more = spec->long_running() ? held.long_running
                        : spec->fills()      ? held.backfill
                        : less_urgent        ? held.less_urgent
                                             : held.other;
      if (!spec->fills()) more.cpu += spec->cpu_milli();
      more.memory_mb += spec->memory_mb();
      more.accelerators += spec->accelerators();
    }
  }
  return out;
}

fit_counts fleet_scheduler::count_fits(
    const pending_step& step, const std::vector<reclaimable>& workers) const {
  const fleet::step_spec& spec = step.spec;
  const auto rest = [](uint64_t all, uint64_t taken) {
    return all - std::min(all, taken);
  };
  fit_counts out;
  for (const reclaimable& it : workers) {
    const worker_view& worker = *it.worker;
    if (worker.beat.pool() != step.pool) continue;
    ++out.usable;
    if (!meets_constraints(worker, step)) {
      ++out.excluded;
      continue;
    }
    resources available;
    available.cpu = rest(worker.beat.cpu_milli(), worker.load.cpu);
    available.memory_mb = rest(worker.beat.memory_mb(), worker.load.memory_mb);
    out.most_cpu = std::max(out.most_cpu, available.cpu);
    out.most_memory = std::max(out.most_memory, available.memory_mb);
    if (available.cpu >= spec.cpu_milli()) ++out.fit_cpu;
    if (available.memory_mb >= spec.memory_mb()) ++out.fit_memory;
    const auto fits_with = [&](const resources& more) -> uint64_t {
      available.cpu += more.cpu;
      available.memory_mb += more.memory_mb;
      return available.cpu >= spec.cpu_milli() &&
             available.memory_mb >= spec.memory_mb();
    };
    if (fits_with({}) != 0) {
      ++out.fit;
      out.with_reservations += fits(worker, step);
      out.places += detail::places_for(available, spec);
    }
    out.without_backfill += fits_with(it.backfill);
    out.without_less_urgent += fits_with(it.less_urgent);
    out.without_short += fits_with(it.other);
    out.without_long_running += fits_with(it.long_running);
  }
  return out;
}

void fleet_scheduler::report_late_start(const placement& it,
                                        bool long_running) {
  if (!long_running) return;
  const time_point now = clock_.now();
  const task_outage* outage = outages_.find(it.task);
  const auto due = due_since(*book_.find(it.task.job), it.task.time);
  const time_point due_at = std::max(
      tracking_of(it.task.job).due_at.value_or(now), due.value_or(now));
  const milliseconds waited =
      now - (outage != nullptr ? outage->since : due_at);
  if (waited < detail::report_after) return;
  log_event(detail::service_name, log_level::warn, "lasting-starts-late")
      .with("task", to_text(it.task))
      .with("worker", it.worker->id.str())
      .with("waited-ms", waited.count());
}

/// Logs once that only evacuated workers meet the constraints of a step, which
/// stays pending until the evacuation is cancelled.
void fleet_scheduler::report_if_only_evacuated_fit(
    const pending_step& step, const std::vector<worker_view*>& usable) {
  if (book_.evacuated().empty() ||
      reported_only_evacuated_.contains(step.first))
    return;
  const auto eligible = [&](const auto* it) {
    return meets_constraints(*it, step);
  };
  if (std::any_of(usable.begin(), usable.end(), eligible)) return;
  const auto& views = workers_.views();
  const auto n = std::count_if(views.begin(), views.end(), [&](const auto& it) {
    return is_evacuated(it.second) && eligible(&it.second);
  });
  if (n == 0) return;
  reported_only_evacuated_.insert(step.first);
  log_event(detail::service_name, log_level::warn, "step-waits-for-evacuation")
      .with("step", to_text(step.first))
      .with("label", step.spec.requires_label())
      .with("workers-evacuated", n)
      .with("data-centres", book_.evacuated().names());
}

void fleet_scheduler::release_reservation(worker_view& worker,
                                          const task_key& step) {
  const auto drop = [&](worker_view& it) {
    const auto kept = std::find_if(
        it.reservations.begin(), it.reservations.end(),
        [&](const capacity_reservation& entry) { return entry.step == step; });
    if (kept == it.reservations.end()) return false;
    it.reservations.erase(kept);
    return true;
  };
  if (drop(worker)) return;
  bool dropped = false;
  workers_.groups().with_reservations.retain_if([&](worker_view& it) {
    dropped = dropped || drop(it);
    return !it.reservations.empty();
  });
}

}  // namespace kestrelreel

// Logs why tasks are pending, and which kinds of runs hold the processors.
#include <algorithm>
#include <map>
#include <utility>

#include "fleet/scheduler.h"
#include "kernel/log.h"

namespace kestrelreel {
namespace detail {

constexpr const char* service_name = "scheduler";
/// Waits below this are not logged.
constexpr milliseconds report_after{1'000};
constexpr milliseconds report_every{1'000};
/// Steps logged per report: a line costs 1 us for each worker, and the
/// reclaimable capacity some 6 us more, once for all lines of a priority.
constexpr size_t max_long_running_reports = 8;
constexpr size_t max_short_reports = 4;

}  // namespace detail

void held_processors::add(const fleet::step_spec& step, run_number run,
                          bool listed) {
  if (step.fills()) {
    backfill += step.cpu_milli();
    return;
  }
  uint64_t& kind = !step.long_running() ? others
                   : run.value() > 1    ? resumed
                                        : long_running;
  kind += step.cpu_milli();
  if (!listed) unlisted += step.cpu_milli();
}

/// Steps of short tasks, backfill aside, that have tasks without a worker. How
/// long they wait is known to the interval of the reports.
std::vector<waiting_short_step> fleet_scheduler::waiting_short_steps() {
  std::map<task_key, time_point> known = std::move(short_waits_);
  short_waits_.clear();
  std::vector<waiting_short_step> out;
  for (const auto& [order, number] : book_.live()) {
    const job_entry& job = *book_.find(number);
    for (uint32_t time = 0; time < job.times.size(); ++time) {
      if (!due_since(job, time)) break;
      const auto& steps = job.times[time];
      for (uint32_t step = 0; step < steps.size(); ++step) {
        const auto& spec = job.spec.steps(static_cast<int>(step));
        const step_entry& it = steps[step];
        if (spec.long_running() || spec.fills()) continue;
        if (it.done + it.running >= it.tasks.size()) continue;
        if (!book_.dependencies_done(job, time, step)) continue;
        const task_key first{number, time, step, 0};
        const uint32_t tasks = unplaced(first, true);
        if (tasks == 0) continue;
        const auto seen = known.find(first);
        const time_point since =
            seen == known.end() ? clock_.now() : seen->second;
        short_waits_[first] = since;
        out.push_back({first, since, tasks});
      }
    }
  }
  std::stable_sort(out.begin(), out.end(), [](const auto& a, const auto& b) {
    return a.since < b.since;
  });
  return out;
}

void fleet_scheduler::report_wait(log_event& line, const task_key& first,
                                  uint64_t tasks, milliseconds waited,
                                  reclaimable_by_priority& workers) {
  const job_entry& job = *book_.find(first.job);
  const pending_step step = pending_step_of(job, first, false);
  const auto [held, inserted] = workers.try_emplace(step.priority);
  if (inserted) held->second = reclaimable_for(step.priority);
  const fit_counts n = count_fits(step, held->second);
  line.with("step", to_text(first))
      .with("tasks", tasks)
      .with("waited-ms", waited.count())
      .with("cpu", step.spec.cpu_milli())
      .with("memory-mb", step.spec.memory_mb())
      .with("workers", n.usable)
      .with("barred", n.excluded)
      .with("fit", n.fit)
      .with("fit-with-kept", n.with_reservations)
      .with("places", n.places)
      .with("fit-cpu", n.fit_cpu)
      .with("fit-memory", n.fit_memory)
      .with("fit-without-fills", n.without_backfill)
      .with("fit-without-lesser", n.without_less_urgent)
      .with("fit-without-short", n.without_short)
      .with("fit-without-lasting", n.without_long_running)
      .with("most-cpu", n.most_cpu)
      .with("most-memory-mb", n.most_memory);
}

/// Logs unusable workers by reason, and the processors of the usable ones: in
/// all, in use, in use by kind of run, in use by runs that their worker does
/// not list, and reserved.
void fleet_scheduler::report_processors() {
  std::map<std::string, uint64_t> ruled_out;
  resources all, taken, reserved;
  held_processors held;
  const size_t usable = candidates().size();
  for (auto& [id, it] : workers_.views()) {
    if (const char* reason = exclusion_reason(it)) {
      ++ruled_out[reason];
      continue;
    }
    all.cpu += it.beat.cpu_milli();
    taken.cpu += it.load.cpu;
    for (const capacity_reservation& entry : it.reservations)
      reserved.cpu += entry.cpu;
    for (const run_key& run : book_.runs_on(id)) {
      const fleet::step_spec* step = book_.find_step(run.task);
      if (step != nullptr) held.add(*step, run.run, it.rows.contains(run));
    }
  }
  log_event line(detail::service_name, log_level::warn, "lasting-room");
  line.with("usable", usable)
      .with("cpu", all.cpu)
      .with("taken-cpu", taken.cpu)
      .with("resumed-cpu", held.resumed)
      .with("lasting-cpu", held.long_running)
      .with("short-cpu", held.others)
      .with("fills-cpu", held.backfill)
      .with("unlisted-cpu", held.unlisted)
      .with("kept-cpu", reserved.cpu)
      .with("plans-cut-short", std::exchange(plans_cut_short_, 0));
  for (const auto& [reason, n] : ruled_out) line.with(reason, n);
}

/// Logs what short tasks wait for, by the standing of their jobs, and the steps
/// that have waited longest and can still be of use.
void fleet_scheduler::report_short_waits(
    const std::vector<waiting_short_step>& waits,
    reclaimable_by_priority& workers) {
  std::map<std::string, uint64_t> steps;
  std::map<std::string, uint64_t> cpu;
  // To find a job's standing takes a look at all of its steps.
  std::map<job_number, job_standing> standings;
  size_t lines = 0;
  for (const waiting_short_step& it : waits) {
    const job_entry& job = *book_.find(it.first.job);
    const auto [known, is_new] = standings.try_emplace(it.first.job);
    if (is_new) known->second = current_job_order(it.first.job, job).standing;
    const job_standing standing = known->second;
    const char* name = to_string(standing);
    const auto& spec = job.spec.steps(static_cast<int>(it.first.step));
    ++steps[name];
    cpu[name] += it.tasks * spec.cpu_milli();
    const milliseconds waited = clock_.now() - it.since;
    if (waited < detail::report_after || standing == job_standing::overdue)
      continue;
    if (++lines > detail::max_short_reports) continue;
    log_event line(detail::service_name, log_level::warn, "short-waits");
    line.with("standing", name)
        .with("width", spec.count())
        .with("age-ms",
              (clock_.now() - tracking_of(it.first.job).accepted).count())
        .with("objective-ms", progress_.objective(it.first.job).count());
    report_wait(line, it.first, it.tasks, waited, workers);
  }
  if (steps.empty()) return;
  log_event line(detail::service_name, log_level::info, "short-steps");
  for (const auto& [name, n] : steps)
    line.with(name + "-steps", n).with(name + "-cpu", cpu[name]);
}

void fleet_scheduler::report_waits() {
  const time_point now = clock_.now();
  if (now - waits_reported_at_ < detail::report_every) return;
  waits_reported_at_ = now;
  const auto delayed = delayed_steps(detail::report_after);
  // A lagging leader has no time for more.
  const auto waits =
      only_open_ ? std::vector<waiting_short_step>() : waiting_short_steps();
  const bool short_wait =
      !waits.empty() && now - waits.front().since >= detail::report_after;
  if (short_wait || !delayed.empty()) report_processors();
  reclaimable_by_priority workers;
  size_t lines = 0;
  for (const delayed_step& wait : delayed) {
    if (++lines > detail::max_long_running_reports) break;
    log_event line(detail::service_name, log_level::warn, "lasting-waits");
    report_wait(line, wait.first, wait.tasks, now - wait.since, workers);
  }
  report_short_waits(waits, workers);
}

}  // namespace kestrelreel

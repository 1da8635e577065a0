// Lasting tasks that wait: what stands in their way.
#include <algorithm>
#include <map>

#include "fleet/scheduler.h"
#include "kernel/log.h"

namespace kestrelreel {
namespace detail {

constexpr const char* service_name = "scheduler";
/// A lasting task that waited for less is not told of.
constexpr milliseconds report_after{1'000};
constexpr milliseconds report_every{1'000};
/// Steps told of at a time: a line costs 1 us for each worker, what may give
/// way some 6 us more, once for all lines.
constexpr size_t most_reports = 8;

}  // namespace detail

/// The usable workers, and what of their runs may give way to a job of that
/// priority. Lasting tasks never do.
std::vector<fleet_scheduler::yielding> fleet_scheduler::yielding_to(
    uint32_t priority) {
  std::vector<yielding> out;
  for (worker_view* it : candidates()) {
    yielding& to = out.emplace_back(yielding{it, {}, {}});
    for (const run_key& run : book_.runs_on(it->id)) {
      const fleet::step_spec* spec = book_.find_step(run.task);
      if (spec == nullptr || spec->long_running()) continue;
      const job_entry& job = *book_.find(run.task.job);
      const bool lesser = book_.queue_of(job).priority() > priority;
      if (!spec->fills() && !lesser) continue;
      gain& more = spec->fills() ? to.fills : to.lesser;
      if (!spec->fills()) more.cpu += spec->cpu_milli();
      more.memory_mb += spec->memory_mb();
      more.accelerators += spec->accelerators();
    }
  }
  return out;
}

void fleet_scheduler::report_wait(const waiting_job& job,
                                  const step_to_place& step,
                                  const std::vector<yielding>& workers) {
  const fleet::step_spec& spec = step.spec;
  uint64_t usable = 0;
  uint64_t barred = 0;
  uint64_t fit = 0;
  uint64_t by_cpu = 0;
  uint64_t by_memory = 0;
  uint64_t by_fills = 0;
  uint64_t by_lesser = 0;
  uint64_t most_cpu = 0;
  uint64_t most_memory = 0;
  const auto rest = [](uint64_t all, uint64_t taken) {
    return all - std::min(all, taken);
  };
  for (const yielding& it : workers) {
    const worker_view& where = *it.where;
    if (where.beat.pool() != step.pool) continue;
    ++usable;
    if (!may_carry(where, step)) {
      ++barred;
      continue;
    }
    const uint64_t cpu = rest(where.beat.cpu_milli(), where.load.cpu);
    const uint64_t memory = rest(where.beat.memory_mb(), where.load.memory_mb);
    const auto holds = [&](uint64_t more_cpu, uint64_t more_memory) {
      return cpu + more_cpu >= spec.cpu_milli() &&
             memory + more_memory >= spec.memory_mb();
    };
    most_cpu = std::max(most_cpu, cpu);
    most_memory = std::max(most_memory, memory);
    by_cpu += cpu >= spec.cpu_milli() ? 1 : 0;
    by_memory += memory >= spec.memory_mb() ? 1 : 0;
    fit += holds(0, 0) ? 1 : 0;
    by_fills += holds(it.fills.cpu, it.fills.memory_mb) ? 1 : 0;
    by_lesser += holds(it.fills.cpu + it.lesser.cpu,
                       it.fills.memory_mb + it.lesser.memory_mb)
                     ? 1
                     : 0;
  }
  const step_entry& entry = job.entry->times[step.first.time][step.first.step];
  const time_point since = *plan_of(job.number).waits_since;
  log_event(detail::service_name, log_level::warn, "lasting-waits")
      .with("step", to_text(step.first))
      .with("tasks", entry.tasks.size() - entry.done - entry.running)
      .with("waited-ms", (clock_.now() - since).count())
      .with("cpu", spec.cpu_milli())
      .with("memory-mb", spec.memory_mb())
      .with("priority", job.order.priority)
      .with("workers", usable)
      .with("barred", barred)
      .with("fit", fit)
      .with("fit-cpu", by_cpu)
      .with("fit-memory", by_memory)
      .with("fit-without-fills", by_fills)
      .with("fit-without-lesser", by_lesser)
      .with("most-cpu", most_cpu)
      .with("most-memory-mb", most_memory);
}

void fleet_scheduler::report_waits() {
  const time_point now = clock_.now();
  if (now - waits_reported_at_ < detail::report_every) return;
  waits_reported_at_ = now;
  std::map<uint32_t, std::vector<yielding>> by_priority;
  size_t lines = 0;
  for (const auto& [order, number] : book_.live()) {
    const auto plan = plans_.find(number);
    if (plan == plans_.end() || !plan->second.waits_since) continue;
    if (now - *plan->second.waits_since < detail::report_after) continue;
    const job_entry& job = *book_.find(number);
    const fleet::queue_route& queue = book_.queue_of(job);
    const waiting_job waiting{{queue.priority(), {}, {}}, number, &job, false};
    for (uint32_t time = 0; time < job.times.size(); ++time) {
      for (uint32_t step = 0; step < job.times[time].size(); ++step) {
        const step_entry& it = job.times[time][step];
        const auto& spec = job.spec.steps(static_cast<int>(step));
        if (!spec.long_running()) continue;
        if (it.done + it.running >= it.tasks.size()) continue;
        if (++lines > detail::most_reports) return;
        auto [workers, fresh] = by_priority.try_emplace(queue.priority());
        if (fresh) workers->second = yielding_to(queue.priority());
        report_wait(waiting,
                    {spec,
                     queue.pool(),
                     {number, time, step, 0},
                     model_.id_of(spec.image()),
                     false},
                    workers->second);
      }
    }
  }
}

void fleet_scheduler::report_late_start(const placement& it, bool lasts) {
  const auto& since = plan_of(it.task.job).waits_since;
  if (!lasts || !since) return;
  const milliseconds waited = clock_.now() - *since;
  if (waited < detail::report_after) return;
  log_event(detail::service_name, log_level::warn, "lasting-starts-late")
      .with("task", to_text(it.task))
      .with("worker", it.where->id.str())
      .with("waited-ms", waited.count());
}

}  // namespace kestrelreel

// Lasting tasks that wait: what stands in their way.
#include <algorithm>
#include <map>
#include <tuple>

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

/// Since when the tasks of that time may run, none if they may not yet; from
/// the beginning in jobs that are not due at a time.
std::optional<time_point> fleet_scheduler::due_since(const job_entry& job,
                                                     uint32_t time) const {
  const fleet::fleet_job_spec& spec = job.spec;
  if (spec.times() == 0) return time_point{};
  const uint64_t due = spec.start_ms() + time * spec.interval_ms();
  if (wall_ms_ < due) return std::nullopt;
  return wall_told_at_ - milliseconds(wall_ms_ - due);
}

/// Tasks of the step that wait and are not proposed anywhere; those that had
/// begun before, or all.
uint32_t fleet_scheduler::unplaced(const task_key& first,
                                   bool fresh_too) const {
  const job_entry* job = book_.find(first.job);
  if (job == nullptr || !job->live()) return 0;
  const auto& tasks = job->times[first.time][first.step].tasks;
  uint32_t n = 0;
  for (uint32_t i = 0; i < tasks.size(); ++i) {
    const task_key key{first.job, first.time, first.step, i};
    if (tasks[i].phase != task_phase::waiting || is_proposed(key)) continue;
    if (fresh_too || is_interrupted(tasks[i])) ++n;
  }
  return n;
}

/// The step's waits, those of tasks that had begun before apart.
void fleet_scheduler::add_waits(const job_entry& job, const task_key& first,
                                time_point since,
                                std::vector<long_wait>& out) const {
  const auto& spec = job.spec.steps(static_cast<int>(first.step));
  if (!spec.long_running() || spec.gang()) return;
  if (!book_.dependencies_done(job, first.time, first.step)) return;
  const uint32_t priority = book_.queue_of(job).priority();
  const uint32_t begun = unplaced(first, false);
  const uint32_t all = unplaced(first, true);
  if (begun > 0) {
    out.push_back({priority, since, first, begun, spec.cpu_milli(), false});
  }
  // New ones may wait longer: a processor is worth more to short jobs.
  if (all > begun && clock_.now() - since >= settings_.keep_new_after) {
    out.push_back({priority, since, first, all, spec.cpu_milli(), true});
  }
}

/// Steps with lasting tasks that have waited too long since they were due, the
/// most urgent first. Of these those that had begun before, the small ones
/// before others: where there isn't room for all, what served goes on, and more
/// tasks serve.
std::vector<fleet_scheduler::long_wait> fleet_scheduler::long_waits(
    milliseconds least) {
  std::vector<long_wait> out;
  const time_point now = clock_.now();
  for (const auto& [order, number] : book_.live()) {
    const auto plan = plans_.find(number);
    if (plan == plans_.end() || !plan->second.waits_since) continue;
    const job_entry& job = *book_.find(number);
    for (uint32_t time = 0; time < job.times.size(); ++time) {
      const auto due = due_since(job, time);
      if (!due) break;
      const time_point since = std::max(*plan->second.waits_since, *due);
      if (now - since < least) break;
      for (uint32_t step = 0; step < job.times[time].size(); ++step) {
        add_waits(job, {number, time, step, 0}, since, out);
      }
    }
  }
  std::stable_sort(out.begin(), out.end(), [](const auto& a, const auto& b) {
    return std::tie(a.priority, a.fresh, a.cpu, a.since) <
           std::tie(b.priority, b.fresh, b.cpu, b.since);
  });
  return out;
}

/// The usable workers, and what their runs that don't last would leave: fill
/// tasks, those less urgent than that priority, and those as urgent.
std::vector<fleet_scheduler::yielding> fleet_scheduler::yielding_to(
    uint32_t priority) {
  std::vector<yielding> out;
  for (worker_view* it : candidates()) {
    yielding& to = out.emplace_back(yielding{it, {}, {}, {}});
    for (const run_key& run : book_.runs_on(it->id)) {
      const fleet::step_spec* spec = book_.find_step(run.task);
      if (spec == nullptr || spec->long_running()) continue;
      const job_entry& job = *book_.find(run.task.job);
      const bool lesser = book_.queue_of(job).priority() > priority;
      gain& more = spec->fills() ? to.fills : lesser ? to.lesser : to.same;
      if (!spec->fills()) more.cpu += spec->cpu_milli();
      more.memory_mb += spec->memory_mb();
      more.accelerators += spec->accelerators();
    }
  }
  return out;
}

/// The usable workers, and how what does not last there may end.
std::vector<fleet_scheduler::worker_ways> fleet_scheduler::all_ways(
    uint32_t priority, const std::set<run_key>& stopping) {
  std::vector<worker_ways> out;
  for (worker_view* it : candidates()) {
    worker_ways& worker = out.emplace_back(
        worker_ways{it, ways_out(*it, priority, stopping), {}});
    for (const way_out& way : worker.ways) worker.most.add(way.more);
  }
  return out;
}

fleet_scheduler::places fleet_scheduler::count_places(
    const step_to_place& step, const std::vector<yielding>& workers) const {
  const fleet::step_spec& spec = step.spec;
  const auto rest = [](uint64_t all, uint64_t taken) {
    return all - std::min(all, taken);
  };
  places out;
  for (const yielding& it : workers) {
    const worker_view& where = *it.where;
    if (where.beat.pool() != step.pool) continue;
    ++out.usable;
    if (!may_carry(where, step)) {
      ++out.barred;
      continue;
    }
    gain room;
    room.cpu = rest(where.beat.cpu_milli(), where.load.cpu);
    room.memory_mb = rest(where.beat.memory_mb(), where.load.memory_mb);
    out.most_cpu = std::max(out.most_cpu, room.cpu);
    out.most_memory = std::max(out.most_memory, room.memory_mb);
    if (room.cpu >= spec.cpu_milli()) ++out.fit_cpu;
    if (room.memory_mb >= spec.memory_mb()) ++out.fit_memory;
    const auto holds = [&](const gain& more) -> uint64_t {
      room.cpu += more.cpu;
      room.memory_mb += more.memory_mb;
      return room.cpu >= spec.cpu_milli() && room.memory_mb >= spec.memory_mb();
    };
    out.fit += holds({});
    out.without_fills += holds(it.fills);
    out.without_lesser += holds(it.lesser);
    out.without_short += holds(it.same);
  }
  return out;
}

void fleet_scheduler::report_wait(const step_to_place& step, uint64_t tasks,
                                  milliseconds waited,
                                  const std::vector<yielding>& workers) {
  const places n = count_places(step, workers);
  log_event(detail::service_name, log_level::warn, "lasting-waits")
      .with("step", to_text(step.first))
      .with("tasks", tasks)
      .with("waited-ms", waited.count())
      .with("cpu", step.spec.cpu_milli())
      .with("memory-mb", step.spec.memory_mb())
      .with("workers", n.usable)
      .with("barred", n.barred)
      .with("fit", n.fit)
      .with("fit-cpu", n.fit_cpu)
      .with("fit-memory", n.fit_memory)
      .with("fit-without-fills", n.without_fills)
      .with("fit-without-lesser", n.without_lesser)
      .with("fit-without-short", n.without_short)
      .with("most-cpu", n.most_cpu)
      .with("most-memory-mb", n.most_memory);
}

/// Where the processors are: workers that get no new work, by reason, and of
/// the others what is taken, and what of that their workers do not list.
void fleet_scheduler::report_processors() {
  std::map<std::string, uint64_t> ruled_out;
  gain all, taken, unlisted, kept;
  const size_t usable = candidates().size();
  for (auto& [id, it] : workers_.views()) {
    if (const char* reason = ruled_out_by(it)) {
      ++ruled_out[reason];
      continue;
    }
    all.cpu += it.beat.cpu_milli();
    taken.cpu += it.load.cpu;
    for (const capacity_reservation& room : it.reservations)
      kept.cpu += room.cpu;
    for (const run_key& run : book_.runs_on(id)) {
      const fleet::step_spec* step = book_.find_step(run.task);
      if (step == nullptr || step->fills() || it.rows.contains(run)) continue;
      unlisted.cpu += step->cpu_milli();
    }
  }
  log_event line(detail::service_name, log_level::warn, "lasting-room");
  line.with("usable", usable)
      .with("cpu", all.cpu)
      .with("taken-cpu", taken.cpu)
      .with("unlisted-cpu", unlisted.cpu)
      .with("kept-cpu", kept.cpu);
  for (const auto& [reason, n] : ruled_out) line.with(reason, n);
}

void fleet_scheduler::report_waits() {
  const time_point now = clock_.now();
  if (now - waits_reported_at_ < detail::report_every) return;
  waits_reported_at_ = now;
  std::map<uint32_t, std::vector<yielding>> by_priority;
  size_t lines = 0;
  for (const long_wait& wait : long_waits(detail::report_after)) {
    if (lines == 0) report_processors();
    if (++lines > detail::most_reports) return;
    const auto [workers, fresh] = by_priority.try_emplace(wait.priority);
    if (fresh) workers->second = yielding_to(wait.priority);
    const job_entry& job = *book_.find(wait.first.job);
    report_wait(place_of(job, wait.first, false), wait.tasks, now - wait.since,
                workers->second);
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

/// Tells once of a step that no worker may carry but evacuated ones: it waits
/// until the evacuation is taken back.
void fleet_scheduler::report_if_barred(
    const step_to_place& step, const std::vector<worker_view*>& usable) {
  if (book_.evacuated().empty() || barred_told_.contains(step.first)) return;
  const auto carries = [&](const auto* it) { return may_carry(*it, step); };
  if (std::any_of(usable.begin(), usable.end(), carries)) return;
  const auto& views = workers_.views();
  const auto n = std::count_if(views.begin(), views.end(), [&](const auto& it) {
    return is_evacuated(it.second) && carries(&it.second);
  });
  if (n == 0) return;
  barred_told_.insert(step.first);
  log_event(detail::service_name, log_level::warn, "step-waits-for-evacuation")
      .with("step", to_text(step.first))
      .with("label", step.spec.requires_label())
      .with("workers-evacuated", n)
      .with("data-centres", book_.evacuated().names());
}

void fleet_scheduler::release_room(worker_view& where, const task_key& step) {
  const auto drop = [&](worker_view& it) {
    const auto kept = std::find_if(
        it.reservations.begin(), it.reservations.end(),
        [&](const capacity_reservation& room) { return room.step == step; });
    if (kept == it.reservations.end()) return false;
    it.reservations.erase(kept);
    return true;
  };
  if (drop(where)) return;
  bool dropped = false;
  workers_.groups().with_reservations.retain_if([&](worker_view& it) {
    dropped = dropped || drop(it);
    return !it.reservations.empty();
  });
}

}  // namespace kestrelreel

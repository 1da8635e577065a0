// Places the pending tasks of a step on workers.
#include <algorithm>
#include <iterator>
#include <utility>

#include "fleet/scheduler.h"

namespace kestrelreel {

/// Indices of the pending tasks, the interrupted ones first.
std::vector<uint32_t> fleet_scheduler::placement_order(const step_entry& step) {
  std::vector<uint32_t> order;
  for (uint32_t i = 0; i < step.tasks.size(); ++i) {
    if (step.tasks[i].phase == task_phase::waiting) order.push_back(i);
  }
  std::stable_partition(order.begin(), order.end(), [&](uint32_t i) {
    return is_interrupted(step.tasks[i]);
  });
  return order;
}

fleet_scheduler::ranking fleet_scheduler::rank(
    const pending_step& step, const std::vector<worker_view*>& all) {
  std::vector<ranked> values;
  values.reserve(all.size());
  count_evaluations(all.size());
  for (size_t i = 0; i < all.size(); ++i) {
    const auto value = score_if_allowed(step, *all[i]);
    if (value) values.emplace_back(*value, -static_cast<std::ptrdiff_t>(i));
  }
  return ranking(std::less<ranked>(), std::move(values));
}

/// Removes the best worker; the caller re-inserts it after placing a task. The
/// rank of a worker that a suspect was placed on since is outdated.
std::optional<size_t> fleet_scheduler::take_best(
    ranking& best, const pending_step& step,
    const std::vector<worker_view*>& all) const {
  while (!best.empty()) {
    const auto [value, position] = best.top();
    best.pop();
    const auto at = static_cast<size_t>(-position);
    if (!all[at]->trial_step) return at;
    const auto beside = score_beside_suspect(step, *all[at]);
    if (beside && value <= *beside) return at;
    if (beside) best.emplace(*beside, position);
  }
  return std::nullopt;
}

run_number fleet_scheduler::last_run(const step_entry& step) {
  run_number last;
  for (const task_entry& it : step.tasks) last = std::max(last, it.run);
  return last;
}

/// The tasks of a step have equal needs, so each worker is evaluated once, and
/// again after it got a task.
std::vector<fleet_scheduler::placement> fleet_scheduler::place_tasks(
    const waiting_job& job, const pending_step& step,
    std::vector<worker_view*>& all) {
  const step_entry& entry = job.entry->times[step.first.time][step.first.step];
  const run_number gang_run = last_run(entry);
  ranking best = rank(step, all);
  std::vector<placement> placed;
  const bool long_running = step.spec.long_running();
  uint64_t new_capacity =
      long_running
          ? new_task_capacity(step.pool, step.priority, tracking_of(job.number))
          : 0;
  for (const uint32_t i : placement_order(entry)) {
    const task_entry& task = entry.tasks[i];
    const bool never_started = long_running && !is_interrupted(task);
    if (never_started && new_capacity < step.spec.cpu_milli()) break;
    const task_key key{job.number, step.first.time, step.first.step, i};
    if (is_proposed(key)) continue;
    const bool suspect = book_.is_suspect(key);
    if (suspect && awaits_evidence(key, task)) continue;
    const std::optional<size_t> at =
        suspect ? worker_for_suspect(step, all) : take_best(best, step, all);
    if (!at && suspect) continue;
    if (!at) break;
    worker_view& worker = *all[*at];
    const bool is_trial = suspect || worker.avoided_times > 0;
    if (is_trial) record_suspect_trial(worker.id, key);
    worker.load.add(key, step.spec, step.image);
    if (long_running) {
      release_reservation(worker, step.first);
      pool_use_of(step.pool).long_running += step.spec.cpu_milli();
      new_capacity -= std::min(new_capacity, step.spec.cpu_milli());
    }
    if (const auto value = score_if_allowed(step, worker)) {
      best.emplace(*value, -static_cast<std::ptrdiff_t>(*at));
    }
    const run_number run = step.spec.gang() ? gang_run : task.run;
    placed.push_back({key, run.next(), &worker});
    if (job.starved && step.spec.fills() && !step.spec.gang()) break;
  }
  return placed;
}

void fleet_scheduler::plan_step(const waiting_job& job, uint32_t time,
                                uint32_t step, fleet::run_starts& out) {
  const fleet::step_spec& spec = job.entry->spec.steps(static_cast<int>(step));
  const step_entry& entry = job.entry->times[time][step];
  // A gang starts as a whole, after all tasks of its earlier run ended.
  if (spec.gang() && entry.running > 0) return;
  const task_key first{job.number, time, step, 0};
  const size_t waiting =
      entry.tasks.size() - entry.done - entry.running - count_proposed(first);
  if (waiting == 0) return;
  const bool retry = retry_is_due(first);
  if (!retry && !fits_on_freed_worker(*job.entry, first)) return;
  const pending_step pending = pending_step_of(*job.entry, first, job.starved);
  const size_t placed_on_open =
      place_on_open_workers(job, pending, waiting, out);
  if (placed_on_open >= waiting) return void(retry_at_.erase(first));
  if (!plan_workers_) plan_workers_ = plan_candidates();
  std::vector<worker_view*>& all = *plan_workers_;
  const std::vector<placement> placed =
      place_tasks(job, pending, retry ? all : freed_);
  if (retry) retry_at_.erase(first);
  if (retry && placed_on_open + placed.size() < waiting) {
    retry_at_[first] =
        clock_.now() + retry_pause(all.size(), spec.long_running());
  }
  if (spec.gang() && placed.size() < waiting) return cancel_placements(placed);
  start(placed, pending, out);
  size_t tried = 0;
  if (retry && placed.size() < waiting)
    tried = place_on_avoided_workers(job, pending, out);
  if (placed_on_open + placed.size() + tried == 0 && retry)
    report_if_only_evacuated_fit(pending, all);
}

/// Number of the step's tasks with a proposed start not yet in the book.
size_t fleet_scheduler::count_proposed(const task_key& first) const {
  task_key next = first;
  ++next.step;
  return static_cast<size_t>(
      std::distance(proposed_.lower_bound(first), proposed_.lower_bound(next)));
}

/// Places tasks of a short step on workers with an open call; returns how many.
size_t fleet_scheduler::place_on_open_workers(const waiting_job& job,
                                              const pending_step& step,
                                              size_t wanted,
                                              fleet::run_starts& out) {
  const fleet::step_spec& spec = step.spec;
  // Data locality and interference need a comparison of all workers.
  if (spec.long_running() || !spec.affinity_rack().empty()) return 0;
  if (!open_workers_) open_workers_ = open_candidates();
  if (open_workers_->empty()) return 0;
  const std::vector<placement> placed = place_tasks(job, step, *open_workers_);
  if (spec.gang() && placed.size() < wanted) {
    cancel_placements(placed);
    return 0;
  }
  start(placed, step, out);
  return placed.size();
}

void fleet_scheduler::cancel_placements(const std::vector<placement>& placed) {
  for (const placement& it : placed) it.worker->load = load_of(*it.worker);
}

void fleet_scheduler::start(const std::vector<placement>& placed,
                            const pending_step& step, fleet::run_starts& out) {
  if (placed.empty()) return;
  tracking_of(step.first.job).idle_since.reset();
  for (const placement& it : placed) {
    report_late_start(it, step.spec.long_running());
    proposed_[it.task] = it.worker->id;
    it.worker->proposed_starts[{it.task, it.run}] = step.spec;
    if (it.worker->avoided_times > 0)
      it.worker->recovery = recovery_trial{{it.task, it.run}, {}};
    workers_.groups().proposing.add(*it.worker);
    fleet::run_start& start = *out.add_starts();
    *start.mutable_task() = to_ref(it.task);
    start.set_run(static_cast<uint32_t>(it.run.value()));
    start.set_worker(it.worker->id.str());
  }
}

}  // namespace kestrelreel

// Tasks under which a worker crashed: each is tried on a worker by itself, so
// that the next crash identifies the cause and affects little else.
#include <algorithm>

#include "fleet/crash-evidence.h"
#include "fleet/scheduler.h"

namespace kestrelreel {
namespace detail {

/// Cost of a worker with another task that has just started, which would be a
/// second suspect in a crash. Exceeds every other cost except that of moving a
/// task's data.
constexpr double unproven_task_cost = 600'000;
/// Cost per running task that a crash would end. Exceeds any gain from a better
/// fit.
constexpr double running_task_cost = 20'000;
/// How many workers are examined for a suspect: among this many candidates
/// there is one whose crash would end few runs.
constexpr size_t max_suspect_looks = 128;
/// How long after its lease a suspect waits to learn whether its worker
/// crashed.
constexpr milliseconds crash_detection_wait{1'500};

}  // namespace detail

/// True when one of the worker's runs may still turn out to crash it.
bool fleet_scheduler::has_unproven_run(const worker_view& it) const {
  if (!it.proposed_starts.empty()) return true;
  const auto& runs = book_.runs_on(it.id);
  return std::any_of(runs.begin(), runs.end(), [&](const run_key& run) {
    const fleet::step_spec* step = book_.find_step(run.task);
    return step != nullptr && !is_harmless(it, run, *step);
  });
}

/// Marks the workers on which a suspect was started and is not listed yet.
void fleet_scheduler::record_suspect_trials() {
  for (const worker_id& id : suspect_workers_) {
    if (worker_view* it = workers_.find(id)) it->trial_step.reset();
  }
  suspect_workers_.clear();
  for (const task_key& suspect : book_.suspects()) {
    const auto proposed = proposed_.find(suspect);
    if (proposed != proposed_.end()) {
      record_suspect_trial(proposed->second, suspect);
      continue;
    }
    const task_entry* task = book_.find(suspect);
    if (task == nullptr || task->phase != task_phase::running) continue;
    const worker_view* it = workers_.find(task->worker);
    if (it != nullptr && !it->rows.contains({suspect, task->run}))
      record_suspect_trial(it->id, suspect);
  }
}

void fleet_scheduler::record_suspect_trial(const worker_id& id,
                                           const task_key& task) {
  worker_view* it = workers_.find(id);
  if (it == nullptr) return;
  it->trial_step = {task.job, task.time, task.step, 0};
  suspect_workers_.push_back(id);
}

/// True when a waiting task of the step has run before.
bool fleet_scheduler::has_interrupted_tasks(const task_key& first) const {
  const auto& tasks =
      book_.find(first.job)->times[first.time][first.step].tasks;
  return std::any_of(tasks.begin(), tasks.end(), is_interrupted);
}

/// True if a start of a pending task has come to nothing since its last run.
/// When a worker's next call is due is only an estimate, which was wrong then.
bool fleet_scheduler::has_failed_start(const task_key& first) const {
  bool found = false;
  outages_.for_each_of_step(first, [&](const task_key& task, const auto& it) {
    found = found || (it.failed_starts > 0 && is_unplaced(task));
  });
  return found;
}

/// True while the suspect's last worker is silent and may yet turn out to have
/// crashed: another crash might reach the evidence limit.
bool fleet_scheduler::awaits_evidence(const task_key& key,
                                      const task_entry& task) const {
  const worker_view* it = workers_.find(task.worker);
  return it != nullptr && it->lapsed.contains({key, task.run}) &&
         clock_.now() < it->lease_expires_at + detail::crash_detection_wait;
}

/// True when another suspect is being tried on the worker, unless both tasks
/// belong to one gang.
bool fleet_scheduler::is_testing(const worker_view& it,
                                 const pending_step& step) {
  return it.trial_step && !(step.spec.gang() && *it.trial_step == step.first);
}

/// The placement value of a worker on which a suspect is being tried; none
/// where the step's tasks must not run. Only members of the suspect's gang may.
std::optional<double> fleet_scheduler::score_beside_suspect(
    const pending_step& step, const worker_view& it) const {
  auto value = score_if_allowed(step, it);
  if (value) *value -= detail::unproven_task_cost;
  return value;
}

/// The placement value of a worker for a suspect; none where the suspect must
/// not run, or where the value does not exceed `least`.
std::optional<double> fleet_scheduler::score_for_suspect(
    const pending_step& step, const worker_view& it,
    std::optional<double> least) const {
  auto value = score_if_allowed(step, it);
  if (!value) return std::nullopt;
  *value -= detail::running_task_cost * static_cast<double>(it.rows.size());
  // The worker's runs are examined only where they can change the result.
  if (least && *value <= *least) return std::nullopt;
  if (it.trial_step || has_unproven_run(it))
    *value -= detail::unproven_task_cost;
  if (least && *value <= *least) return std::nullopt;
  return value;
}

/// Picks a worker for a suspect, if any may take it. After a mass crash there
/// may be as many suspects as workers, so that each call examines only some
/// workers, in turn.
std::optional<size_t> fleet_scheduler::worker_for_suspect(
    const pending_step& step, const std::vector<worker_view*>& all) {
  std::optional<size_t> best;
  std::optional<double> best_value;
  size_t looks = 0;
  for (; looks < all.size() && (!best || looks < detail::max_suspect_looks);
       ++looks) {
    const size_t i = (suspect_scan_offset_ + looks) % all.size();
    const auto value = score_for_suspect(step, *all[i], best_value);
    if (!value) continue;
    best = i;
    best_value = value;
  }
  suspect_scan_offset_ += looks;
  count_evaluations(looks);
  return best;
}

}  // namespace kestrelreel

// Tasks under which a worker crashed: each is tried on a worker by itself, so
// that the next crash tells which of them did it, and harms little else.
#include <algorithm>

#include "fleet/crash-evidence.h"
#include "fleet/scheduler.h"

namespace kestrelreel {
namespace detail {

/// A task that has just started there would be a suspect beside it: above all
/// but a task's data.
constexpr double unproven_cost = 600'000;
/// What runs there would be lost with a crash: above any room that is left
/// over.
constexpr double company_cost = 20'000;
/// Of so many workers that may take a suspect one has little to lose.
constexpr size_t enough_looks = 128;
/// How long a suspect waits after its lease to know how its worker ended.
constexpr milliseconds fate_wait{1'500};

}  // namespace detail

/// True when a run there may still turn out to crash the worker.
bool fleet_scheduler::has_unproven(const worker_view& it) const {
  if (!it.proposed_starts.empty()) return true;
  const auto& runs = book_.runs_on(it.id);
  return std::any_of(runs.begin(), runs.end(), [&](const run_key& run) {
    const fleet::step_spec* step = book_.find_step(run.task);
    return step != nullptr && !is_harmless(it, run, *step);
  });
}

/// Notes the workers on which a suspect was started and is not listed yet.
void fleet_scheduler::note_tries() {
  for (const worker_id& id : trying_) {
    if (worker_view* it = workers_.find(id)) it->trial_step.reset();
  }
  trying_.clear();
  for (const task_key& suspect : book_.suspects()) {
    const fleet::step_spec* step = book_.find_step(suspect);
    if (step == nullptr) continue;
    const auto& tasks =
        book_.find(suspect.job)->times[suspect.time][suspect.step].tasks;
    const uint32_t end = step->gang() ? step->count() : suspect.index + 1;
    for (uint32_t i = suspect.index; i < end; ++i) {
      task_key task = suspect;
      task.index = i;
      const auto proposed = proposed_.find(task);
      if (proposed != proposed_.end()) {
        note_try(proposed->second, task);
      } else if (tasks[i].phase == task_phase::running) {
        worker_view* it = workers_.find(tasks[i].worker);
        const run_key run{task, tasks[i].run};
        if (it != nullptr && !it->rows.contains(run)) note_try(it->id, task);
      }
    }
  }
}

void fleet_scheduler::note_try(const worker_id& id, const task_key& task) {
  worker_view* it = workers_.find(id);
  if (it == nullptr) return;
  it->trial_step = {task.job, task.time, task.step, 0};
  trying_.push_back(id);
}

/// True when a task of the step that waits had begun before.
bool fleet_scheduler::has_interrupted(const task_key& first) const {
  const auto& tasks =
      book_.find(first.job)->times[first.time][first.step].tasks;
  return std::any_of(tasks.begin(), tasks.end(), is_interrupted);
}

/// True while the suspect's last worker is silent and may just be about to show
/// that it crashed: another crash might be enough.
bool fleet_scheduler::awaits_fate(const task_key& key,
                                  const task_entry& task) const {
  const worker_view* it = workers_.find(task.worker);
  return it != nullptr && it->lapsed.contains({key, task.run}) &&
         clock_.now() < it->lease_expires_at + detail::fate_wait;
}

/// True where a suspect is being tried, unless both are of one gang.
bool fleet_scheduler::is_trying(const worker_view& it,
                                const step_to_place& step) {
  return it.trial_step && !(step.spec.gang() && *it.trial_step == step.first);
}

/// How well a suspect would stand on a worker; none where it must not run, or
/// where that is no better than `least`.
std::optional<double> fleet_scheduler::value_for_suspect(
    const step_to_place& step, const worker_view& it,
    std::optional<double> least) const {
  auto value = value_of(step, it);
  if (!value) return std::nullopt;
  *value -= detail::company_cost * static_cast<double>(it.rows.size());
  // What runs there is looked at only where it may decide.
  if (least && *value <= *least) return std::nullopt;
  if (has_unproven(it) && it.trial_step != step.first) {
    *value -= detail::unproven_cost;
  }
  if (least && *value <= *least) return std::nullopt;
  return value;
}

/// Which worker is a good one for a suspect, if any may take it. After a crash
/// of many workers there are suspects as many as these: each looks at some, in
/// turn.
std::optional<size_t> fleet_scheduler::place_for_suspect(
    const step_to_place& step, const std::vector<worker_view*>& all) {
  std::optional<size_t> best;
  std::optional<double> most;
  size_t looks = 0;
  for (; looks < all.size() && (!best || looks < detail::enough_looks);
       ++looks) {
    const size_t i = (suspect_looks_ + looks) % all.size();
    const auto value = value_for_suspect(step, *all[i], most);
    if (!value) continue;
    best = i;
    most = value;
  }
  suspect_looks_ += looks;
  count_looks(looks);
  return best;
}

}  // namespace kestrelreel

// Ends that come late, or in a heartbeat of which nothing else counts. A good
// one counts while no later run of its task may have begun.
#include "fleet/controller.h"
#include "kernel/log.h"

namespace kestrelreel {
namespace detail {

constexpr const char* service_name = "controller";
/// A worker lists an end that is not acknowledged with its next call, well
/// within this. One that calls no more leaves its end untold.
constexpr milliseconds listed_again_within{2'000};

}  // namespace detail

/// An end is true whether or not its worker's life goes on, and a worker that
/// is gone lists it no more. It is not acknowledged by this.
void fleet_controller::take_ends_of_unsure(const fleet::worker_beat& beat) {
  worker_view* it = workers_.find(incarnation_of(beat));
  if (it == nullptr || it->loss_proposed || losing_.contains(it->id)) return;
  if (book_.runs_on(it->id).empty()) return;
  take_ends(*it, beat.ended(), false);
}

/// Recalls a later run of the task, so that the end counts. False while that
/// run's start is on its way into the log: the end, and what is listed after
/// it, waits for the worker's next call.
bool fleet_controller::make_way(const fleet::run_end& end) {
  const task_key key = to_key(end.task());
  const task_entry* task = book_.find(key);
  const fleet::step_spec* step = book_.find_step(key);
  if (end.outcome() != fleet::run_done || task == nullptr) return true;
  // One member's end is not its gang's, and a task that lasts has no good end.
  if (step->gang() || step->long_running()) return true;
  if (task->phase == task_phase::waiting && scheduler_.is_proposed(key)) {
    ended_well_[key] = clock_.now();
    return false;
  }
  ended_well_.erase(key);
  const bool later =
      task->phase == task_phase::running && task->run > run_number(end.run());
  if (later) recall({key, task->run}, task->worker);
  return true;
}

/// Takes back a start that was sent in no answer.
void fleet_controller::recall(const run_key& run, const worker_id& worker) {
  worker_view* it = workers_.find(worker);
  if (it == nullptr || it->unsent_starts.erase(run) == 0) return;
  log_event(detail::service_name, log_level::info, "start-recalled")
      .with("task", to_text(run.task))
      .with("run", run.run.value())
      .with("worker", worker.str())
      .with("cause", "an earlier run ended well");
  propose_loss(*it, {run}, loss_cause::unsent);
}

void fleet_controller::recall_if_ended(const run_key& run,
                                       const worker_id& worker) {
  const auto it = ended_well_.find(run.task);
  if (it == ended_well_.end()) return;
  const bool recent = clock_.now() - it->second < detail::listed_again_within;
  ended_well_.erase(it);
  if (recent) recall(run, worker);
}

}  // namespace kestrelreel

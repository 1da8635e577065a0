// Ends reported late, or in a heartbeat that is otherwise ignored. Such an end
// of a run that is done counts as long as no later run of the task may have
// begun.
#include "fleet/controller.h"
#include "kernel/log.h"

namespace kestrelreel {
namespace detail {

constexpr const char* service_name = "controller";
/// A worker repeats an unacknowledged end with its next heartbeat, well within
/// this time. An end of a worker that no longer calls stays unreported.
constexpr milliseconds end_relist_window{2'000};

}  // namespace detail

/// Records the ends in a heartbeat of uncertain incarnation. An end is valid
/// whether or not its worker's incarnation continues, and a terminated worker
/// does not report the end again. These ends are not acknowledged here.
void fleet_controller::record_ends_only(const fleet::worker_beat& beat) {
  worker_view* it = workers_.find(incarnation_of(beat));
  if (it == nullptr || it->loss_proposed || pending_losses_.contains(it->id))
    return;
  if (book_.runs_on(it->id).empty()) return;
  record_ends(*it, beat.ended(), false);
}

/// Withdraws a later run of the task so that the end counts. Returns false
/// while the later run's start is being committed: this end and those listed
/// after it then wait for the worker's next heartbeat.
bool fleet_controller::recall_later_run(const fleet::run_end& end) {
  const task_key key = to_key(end.task());
  const task_entry* task = book_.find(key);
  const fleet::step_spec* step = book_.find_step(key);
  if (end.outcome() != fleet::run_done || task == nullptr) return true;
  // The end of one member is not the end of its gang, and a long-running task
  // is never done.
  if (step->gang() || step->long_running()) return true;
  if (task->phase == task_phase::waiting && scheduler_.is_proposed(key)) {
    done_while_proposed_[key] = clock_.now();
    return false;
  }
  done_while_proposed_.erase(key);
  const bool runs_again =
      task->phase == task_phase::running && task->run > run_number(end.run());
  if (runs_again) recall_start({key, task->run}, task->worker);
  return true;
}

/// Withdraws a start that was not sent in any answer.
void fleet_controller::recall_start(const run_key& run,
                                    const worker_id& worker) {
  worker_view* it = workers_.find(worker);
  if (it == nullptr || it->unsent_starts.erase(run) == 0) return;
  log_event(detail::service_name, log_level::info, "start-recalled")
      .with("task", to_text(run.task))
      .with("run", run.run.value())
      .with("worker", worker.str())
      .with("cause", "an earlier run is done");
  propose_loss(*it, {run}, loss_cause::unsent);
}

void fleet_controller::recall_start_if_done(const run_key& run,
                                            const worker_id& worker) {
  const auto it = done_while_proposed_.find(run.task);
  if (it == done_while_proposed_.end()) return;
  const bool recent = clock_.now() - it->second < detail::end_relist_window;
  done_while_proposed_.erase(it);
  if (recent) recall_start(run, worker);
}

}  // namespace kestrelreel

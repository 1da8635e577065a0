// Ends reported late, or in a heartbeat that is otherwise ignored.
#include "fleet/controller.h"
#include "kernel/log.h"

namespace kestrelreel {
namespace detail {

constexpr const char* service_name = "controller";

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

/// The successful ends in the report were applied or could not be proposed.
void fleet_controller::settle_successes(const fleet::worker_report& report) {
  for (const fleet::run_end& end : report.ends()) {
    if (end.outcome() != fleet::run_done) continue;
    const auto it = pending_successes_.find(to_key(end.task()));
    if (it != pending_successes_.end()) pending_successes_.erase(it);
  }
}

/// Logs an end of a run that was declared lost. One that is acknowledged
/// without effect although its run was done or failed is a warning; the ends of
/// runs that a worker killed when its lease expired are many and expected.
void fleet_controller::log_late_end(const std::string& worker,
                                    const job_book::late_end& it) {
  const bool has_result =
      it.outcome == fleet::run_done || it.outcome == fleet::run_failed;
  const log_level uncounted = has_result ? log_level::warn : log_level::debug;
  const run_key later{it.run.task, it.later_run};
  const worker_view* view = workers_.find(it.later_worker);
  const bool listed = view != nullptr && view->rows.contains(later);
  const bool sent = view != nullptr && view->starts_sent_at.contains(later);
  log_event(detail::service_name, it.counted ? log_level::info : uncounted,
            it.counted ? "late-end-counted" : "end-not-counted")
      .with("task", to_text(it.run.task))
      .with("run", it.run.run.value())
      .with("outcome", fleet::run_outcome_Name(it.outcome))
      .with("worker", worker)
      .with("present-run", it.later_run.value())
      .with("present-worker", it.later_worker.str())
      .with("present-start", listed ? "listed"
                             : sent ? "sent"
                                    : "unsent");
}

}  // namespace kestrelreel

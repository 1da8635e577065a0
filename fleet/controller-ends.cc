// Ends of runs: those that heartbeats list, and those that arrive late or in a
// heartbeat that is otherwise ignored.
#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "base/text.h"
#include "fleet/beat-order.h"
#include "fleet/controller.h"
#include "kernel/log.h"

namespace kestrelreel {
namespace detail {

constexpr const char* service_name = "controller";
/// Formats the number of ends per outcome, such as `run_done:2,run_failed:1`.
std::string count_outcomes(const fleet::worker_report& report) {
  std::map<std::string, unsigned> counts;
  for (const fleet::run_end& it : report.ends()) {
    ++counts[fleet::run_outcome_Name(it.outcome())];
  }
  std::string out;
  for (const auto& [name, n] : counts) {
    str_append(out, out.empty() ? "" : ",", name, ":", n);
  }
  return out;
}

/// The ends by number: the log keeps only the highest one acknowledged.
std::vector<const fleet::run_end*> sort_by_number(
    const google::protobuf::RepeatedPtrField<fleet::run_end>& ends) {
  std::vector<const fleet::run_end*> out;
  for (const fleet::run_end& it : ends) out.push_back(&it);
  std::stable_sort(out.begin(), out.end(), [](const auto* a, const auto* b) {
    return a->number() < b->number();
  });
  return out;
}

}  // namespace detail

void fleet_controller::record_ends(worker_view& it, const listed_ends& ends,
                                   end_source source) {
  const bool timely = source == end_source::timely;
  const uint64_t last_known =
      std::max(book_.last_end(it.id), it.last_end_proposed);
  fleet::fleet_command command;
  fleet::worker_report& report = *command.mutable_report();
  report.set_worker(it.id.str());
  for (const fleet::run_end* end : detail::sort_by_number(ends)) {
    if (end->number() <= last_known) continue;
    *report.add_ends() = *end;
    it.last_end_proposed = std::max(it.last_end_proposed, end->number());
    // A late end tells no run time.
    if (timely) scheduler_.progress().observe_end(it, *end);
    record_end(it, *end);
  }
  if (report.ends_size() == 0) return;
  count_refusals(it, report);
  const bool rare = is_starting_or_leaving(it) || source == end_source::late;
  // The others would be three quarters of all lines.
  log_event(detail::service_name, rare ? log_level::info : log_level::debug,
            "ends-listed")
      .with("worker", it.id.str())
      .with("sequence", it.beat.sequence())
      .with("first", report.ends(0).number())
      .with("last", it.last_end_proposed)
      .with("outcomes", detail::count_outcomes(report))
      .with("more", may_omit_ends(it.beat) ? "maybe" : "no")
      .with("timely", timely ? "yes" : "no")
      .with("waiting", source == end_source::waiting ? "yes" : "no")
      .with("draining", it.beat.draining() ? "yes" : "no");
  add_command(std::move(command));
}

void fleet_controller::record_end(worker_view& it, const fleet::run_end& end) {
  ++metrics_.counter("kestrelreel_run_ends_total",
                     {{"outcome", fleet::run_outcome_Name(end.outcome())}});
  if (end.outcome() == fleet::run_done) {
    pending_successes_.insert(to_key(end.task()));
    end_recovery(it);
    return;
  }
  log_event(detail::service_name, log_level::info, "run-ended")
      .with("task", to_text(to_key(end.task())))
      .with("run", end.run())
      .with("worker", it.id.str())
      .with("outcome", fleet::run_outcome_Name(end.outcome()));
  if (end.outcome() == fleet::run_failed) count_failure(it, end);
}

/// Records the ends in a heartbeat of uncertain incarnation. An end is valid
/// whether or not its worker's incarnation continues, and a terminated worker
/// does not report the end again. These ends are not acknowledged here.
void fleet_controller::record_ends_only(const fleet::worker_beat& beat) {
  worker_view* it = workers_.find(incarnation_of(beat));
  if (it == nullptr || it->loss_proposed || pending_losses_.contains(it->id))
    return;
  if (book_.runs_on(it->id).empty()) return;
  record_ends(*it, beat.ended(), end_source::late);
}

/// Records the ends in a call that waits at another box. The answer to that
/// call or to a later one acknowledges them. A call that would be rejected if
/// it were forwarded ends no runs.
void fleet_controller::record_waiting_ends(const fleet::worker_beat& beat) {
  const auto ignore = [](const fleet::fleet_response&) {};
  if (const char* fault = find_fault(beat))
    return reject_heartbeat(beat, fault, ignore);
  worker_view* it = workers_.find(incarnation_of(beat));
  if (it == nullptr || it->loss_proposed) return;
  const bool inconsistent =
      it->has_heartbeat &&
      compare_heartbeats(it->beat, it->last_heartbeat_at, beat, clock_.now()) ==
          heartbeat_order::inconsistent;
  if (inconsistent) return reject_heartbeat(beat, "misfit", ignore);
  record_ends(*it, beat.ended(), end_source::waiting);
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

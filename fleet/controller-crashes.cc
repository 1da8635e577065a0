// Worker crashes: the evidence against the tasks that ran there, and the
// records from which the next leader recognises a crash.
#include <algorithm>
#include <chrono>
#include <map>
#include <optional>

#include "fleet/controller.h"
#include "fleet/crash-evidence.h"
#include "kernel/log.h"

namespace kestrelreel {
namespace detail {

constexpr const char* service_name = "controller";
/// Crashes have a common cause if the last heartbeats of the crashed workers
/// are at most this far apart.
constexpr milliseconds shared_cause_window{1'000};
/// A worker whose heartbeat is overdue by this much may have crashed as well.
constexpr milliseconds maybe_crashed_after{1'000};
constexpr size_t max_crash_times = 256;

bool is_near(time_point a, time_point b) {
  return std::chrono::abs(a - b) <= shared_cause_window;
}

}  // namespace detail

/// Only a new incarnation at the same place indicates a crash. A worker that is
/// cut off, frozen or slow calls again under the same incarnation, and one that
/// drains ends without a crash.
bool fleet_controller::shows_crash(const worker_view& it, loss_cause cause) {
  const bool has_successor =
      cause == loss_cause::replaced || cause == loss_cause::restarted;
  return has_successor && !it.is_leaving && !it.beat.draining();
}

bool fleet_controller::crashed_with_others(const worker_view& it) const {
  const time_point now = clock_.now();
  const auto is_shared = [&](time_point heard_at) {
    return detail::is_near(heard_at, it.last_heartbeat_at);
  };
  if (std::any_of(crash_times_.begin(), crash_times_.end(), is_shared))
    return true;
  const auto& views = workers_.views();
  return std::any_of(views.begin(), views.end(), [&](const auto& entry) {
    const worker_view& other = entry.second;
    return other.id != it.id && other.has_heartbeat &&
           is_shared(other.last_heartbeat_at) &&
           now - std::max(other.last_heartbeat_at, other.call_due) >=
               detail::maybe_crashed_after;
  });
}

void fleet_controller::add_crash_findings(const worker_view& it,
                                          const std::set<run_key>& runs,
                                          fleet::worker_loss& loss) {
  const bool others = crashed_with_others(it);
  std::map<run_key, crash_finding> findings;
  std::vector<run_key> suspects;
  for (const crash_finding& found : examine_crash(it, runs, book_, others)) {
    findings[found.run] = found;
    if (found.evidence > 0) suspects.push_back(found.run);
  }
  for (fleet::run_loss& lost : *loss.mutable_runs()) {
    const auto found =
        findings.find({to_key(lost.task()), run_number(lost.run())});
    if (found == findings.end()) continue;
    lost.set_crash_evidence(found->second.evidence);
    lost.set_survived(found->second.survived);
  }
  if (it.has_heartbeat) crash_times_.push_back(it.last_heartbeat_at);
  if (crash_times_.size() > detail::max_crash_times) crash_times_.pop_front();
  ++metrics_.counter("kestrelreel_worker_crashes_total");
  log_event(detail::service_name, log_level::warn, "worker-crashed")
      .with("worker", it.id.str())
      .with("known", it.has_heartbeat ? "yes" : "no")
      .with("others-too", others ? "yes" : "no")
      .with("runs", runs.size())
      .with("suspects", to_text(suspects))
      .with("evidence",
            suspects.empty() ? 0 : findings.at(suspects.front()).evidence);
}

/// The progress of a suspect's run as known to this leader; none before the run
/// was ordered.
std::optional<fleet::run_progress> fleet_controller::progress_of(
    const run_key& run, const worker_view& it) const {
  if (is_harmless(it, run, *book_.find_step(run.task))) {
    return fleet::run_harmless;
  }
  if (it.rows.contains(run)) return fleet::run_listed;
  if (it.starts_sent_at.contains(run)) return fleet::run_ordered;
  return std::nullopt;
}

bool fleet_controller::order_is_recorded(const run_key& run) const {
  const crash_record crash = book_.crash_of(run.task);
  return crash.crashes == 0 || crash.ordered >= run.run;
}

/// Records orders for suspects in the log before they are sent, because
/// leadership may have changed by the time the worker crashes. Returns false
/// while a record is not yet committed.
bool fleet_controller::record_orders(worker_view& it) {
  if (book_.suspects().empty()) return true;
  bool recorded = true;
  for (const run_key& run : starts_for(it)) {
    if (order_is_recorded(run)) continue;
    recorded = false;
    record_progress(run, it.id, fleet::run_ordered);
  }
  return recorded;
}

void fleet_controller::record_all_orders() {
  if (book_.suspects().empty()) return;
  workers_.groups().calling.retain_if([this](worker_view& it) {
    if (it.respond) record_orders(it);
    return true;
  });
}

/// Proposes the progress of a suspect's run unless the same or later progress
/// was proposed before.
void fleet_controller::record_progress(const run_key& run,
                                       const worker_id& worker,
                                       fleet::run_progress progress) {
  const auto [recorded, is_new] = recorded_progress_.try_emplace(run, progress);
  if (!is_new && recorded->second >= progress) return;
  recorded->second = progress;
  fleet::fleet_command command;
  command.mutable_report()->set_worker(worker.str());
  fleet::run_sighting& sighting = *command.mutable_report()->add_sightings();
  *sighting.mutable_task() = to_ref(run.task);
  sighting.set_run(static_cast<uint32_t>(run.run.value()));
  sighting.set_progress(progress);
  add_command(std::move(command));
}

/// The next leader needs the progress of each suspect: otherwise it blames the
/// task either for every later end of its worker or for none.
void fleet_controller::review_suspects() {
  std::erase_if(recorded_progress_, [&](const auto& p) {
    return !book_.suspects().contains(p.first.task);
  });
  for (const task_key& key : book_.suspects()) {
    const task_entry& task = *book_.find(key);
    if (task.phase != task_phase::running) continue;
    const worker_view* it = workers_.find(task.worker);
    if (it == nullptr) continue;
    const run_key run{key, task.run};
    const auto progress = progress_of(run, *it);
    if (progress) record_progress(run, it->id, *progress);
  }
}

void fleet_controller::record_given_up_tasks(const job_book::result& result) {
  for (const job_book::failed_by_crashes& it : result.crashing) {
    ++metrics_.counter("kestrelreel_tasks_given_up_total");
    log_event(detail::service_name, log_level::warn, "task-given-up")
        .with("task", to_text(it.task))
        .with("cause", "crashes the workers that start it")
        .with("run", it.crash.run.value())
        .with("crashes", it.crash.crashes)
        .with("evidence", it.crash.evidence);
  }
}

/// Records the places of workers that get a start. The next leader, which may
/// never have heard from a crashed worker, recognises from the place that
/// another incarnation followed.
void fleet_controller::add_places(fleet::run_starts& starts) const {
  std::set<std::string> added;
  for (const fleet::run_start& it : starts.starts()) {
    const auto view = workers_.views().find(worker_id(it.worker()));
    if (view == workers_.views().end()) continue;
    if (book_.places().contains(view->first)) continue;
    if (!added.insert(it.worker()).second) continue;
    fleet::worker_place& place = *starts.add_places();
    place.set_worker(it.worker());
    place.set_address(view->second.beat.address());
    place.set_machine(view->second.beat.machine());
  }
}

void fleet_controller::load_recorded_places() {
  for (const auto& [id, place] : book_.places()) {
    worker_view& it = workers_.expect(id);
    it.beat.set_address(place.address());
    it.beat.set_machine(place.machine());
  }
  for (const auto& [id, runs] : book_.lapsed()) {
    workers_.expect(id).lapsed = runs;
  }
}

}  // namespace kestrelreel

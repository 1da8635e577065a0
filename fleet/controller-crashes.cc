// Workers that crash: what that says against the tasks that ran there, and what
// the next leader must know to see it.
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
/// Crashes whose last heartbeats lie no further apart have one cause.
constexpr milliseconds same_time{1'000};
/// A worker whose call is so late may have crashed as well.
constexpr milliseconds maybe_crashed{1'000};
constexpr size_t most_crash_times = 256;

bool is_near(time_point a, time_point b) {
  return std::chrono::abs(a - b) <= same_time;
}

}  // namespace detail

/// Only a next life at the same place shows a crash: a worker that is cut off,
/// frozen or slow calls again as the one that it was, and one that drains ends
/// in order.
bool fleet_controller::shows_crash(const worker_view& it, loss_cause cause) {
  const bool lives_on =
      cause == loss_cause::replaced || cause == loss_cause::restarted;
  return lives_on && !it.is_leaving && !it.beat.draining();
}

bool fleet_controller::crashed_with_others(const worker_view& it) const {
  const time_point now = clock_.now();
  const auto near = [&](time_point told) {
    return detail::is_near(told, it.last_heartbeat_at);
  };
  if (std::any_of(crash_times_.begin(), crash_times_.end(), near)) return true;
  const auto& views = workers_.views();
  return std::any_of(views.begin(), views.end(), [&](const auto& entry) {
    const worker_view& o = entry.second;
    return o.id != it.id && o.has_heartbeat && near(o.last_heartbeat_at) &&
           now - std::max(o.last_heartbeat_at, o.call_due) >=
               detail::maybe_crashed;
  });
}

void fleet_controller::add_findings(const worker_view& it,
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
  if (crash_times_.size() > detail::most_crash_times) crash_times_.pop_front();
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

/// How far the suspect's run came, as far as this leader knows; none before it
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

/// A suspect's start is ordered once the log tells that it may have been: the
/// leader may be gone by the time that the worker crashes. False while a record
/// is on its way.
bool fleet_controller::record_orders(worker_view& it) {
  if (book_.suspects().empty()) return true;
  bool recorded = true;
  for (const run_key& run : starts_for(it)) {
    if (order_is_recorded(run)) continue;
    recorded = false;
    record_progress({book_.crash_record_key(run.task), run.run}, it.id,
                    fleet::run_ordered);
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

/// Tells the log of the suspect's run unless it was told as much before.
void fleet_controller::record_progress(const run_key& run,
                                       const worker_id& worker,
                                       fleet::run_progress progress) {
  const auto [told, fresh] = sightings_.try_emplace(run, progress);
  if (!fresh && told->second >= progress) return;
  told->second = progress;
  fleet::fleet_command command;
  command.mutable_report()->set_worker(worker.str());
  fleet::run_sighting& seen = *command.mutable_report()->add_sightings();
  *seen.mutable_task() = to_ref(run.task);
  seen.set_run(static_cast<uint32_t>(run.run.value()));
  seen.set_progress(progress);
  add_command(std::move(command));
}

/// The next leader must know how far a suspect came: else it takes any end of
/// its worker for another crash under the task, or for none.
void fleet_controller::review_suspects() {
  std::erase_if(sightings_, [&](const auto& p) {
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

void fleet_controller::note_given_up(const job_book::result& result) {
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

/// The next leader, which has heard nothing of a worker that crashed, sees by
/// its place that another life followed.
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

void fleet_controller::learn_places() {
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

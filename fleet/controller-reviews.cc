// Declares runs lost: those of workers that fell silent or left, and those of
// machines that continue under another identity.
#include <algorithm>
#include <optional>
#include <string>

#include "fleet/controller.h"
#include "fleet/run-presence.h"
#include "kernel/log.h"

namespace kestrelreel {
namespace detail {

constexpr const char* service_name = "controller";
/// Ticks are due every 100 ms. A tick that comes this late shows that the
/// process stalled.
constexpr milliseconds held_up_after{400};
/// At least this many late heartbeats between two ticks, making up more than
/// one in `late_share_divisor`, show that heartbeats wait unread.
constexpr unsigned min_late_heartbeats = 3;
constexpr unsigned late_share_divisor = 5;
/// Upper bound for reading the backlog: a worker drops a call after a second.
constexpr milliseconds catch_up_time{1'000};
/// How much longer a lagging leader waits for unread heartbeats before it
/// declares anything lost. The bound is tight: a run whose lease has ended is
/// over however late the leader reads, and a long-running task must run again
/// within 9 s of its end, of which the longest lease takes 7.2 s and an order
/// takes 1 s.
constexpr milliseconds read_backlog_grace{700};
/// A live worker calls more often than this. A worker that was silent for
/// longer while another incarnation on its machine called has ended.
constexpr milliseconds dead_after{2'000};
/// How often silent workers without runs are reviewed.
constexpr milliseconds idle_review_interval{1'000};
/// How long after its lease a silent worker without runs is kept.
constexpr milliseconds silent_worker_retention{60'000};
/// True when `newer` proves that the incarnation `it` at the same place is
/// over. A heartbeat of an earlier incarnation may arrive after the next one
/// began, after a network cut even several, seconds apart. `newer` must
/// therefore have got answers, and must have called for a minimum time by the
/// leader's clock and by its own clock, and since `it` fell silent.
bool has_outlived(const worker_view& newer, const worker_view& it,
                  milliseconds loss_grace) {
  const milliseconds min_time = incarnation_proof_time + loss_grace;
  const milliseconds worker_elapsed(
      static_cast<int64_t>(newer.beat.clock_ms() - newer.first_clock_ms));
  return newer.got_answer && newer.id != it.id &&
         newer.last_heartbeat_at > it.last_heartbeat_at &&
         newer.first_heartbeat_at > it.first_heartbeat_at &&
         newer.last_heartbeat_at -
                 std::max(newer.first_heartbeat_at, it.last_heartbeat_at) >=
             min_time &&
         worker_elapsed >= min_time;
}

/// Returns the first worker that has outlived `it`, or null.
const worker_view* find_survivor(const std::vector<worker_view*>& all,
                                 const worker_view& it,
                                 milliseconds loss_grace) {
  const auto found =
      std::find_if(all.begin(), all.end(), [&](const worker_view* other) {
        return !other->loss_proposed && has_outlived(*other, it, loss_grace);
      });
  return found == all.end() ? nullptr : *found;
}

const worker_view* find_replacement(const worker_table& workers,
                                    const worker_view& it,
                                    milliseconds loss_grace) {
  const worker_view* found =
      find_survivor(workers.at_place(it.beat.machine()), it, loss_grace);
  if (found != nullptr) return found;
  return find_survivor(workers.at_place(it.beat.address()), it, loss_grace);
}

}  // namespace detail

const char* fleet_controller::name_of(loss_cause cause) {
  switch (cause) {
    case loss_cause::silent:
      return "silent for too long";
    case loss_cause::replaced:
      return "another incarnation on its machine";
    case loss_cause::restarted:
      return "the worker restarted";
    case loss_cause::left:
      return "the worker left";
    case loss_cause::unsent:
      return "start never sent";
    case loss_cause::unstarted:
      return "run never began";
    case loss_cause::lease:
      break;
  }
  return "lease ended";
}

void fleet_controller::propose_loss(worker_view& it,
                                    const std::vector<run_key>& runs,
                                    loss_cause cause) {
  fleet::fleet_command command;
  fleet::worker_loss& loss = *command.mutable_loss();
  loss.set_worker(it.id.str());
  const bool some_runs_only = cause == loss_cause::lease ||
                              cause == loss_cause::unstarted ||
                              cause == loss_cause::unsent;
  loss.set_gone(!some_runs_only);
  loss.set_over(cause == loss_cause::replaced ||
                cause == loss_cause::restarted || cause == loss_cause::left);
  loss.set_silent(cause == loss_cause::lease && !it.lapsed.empty());
  const time_point heard_at =
      it.has_heartbeat ? it.last_heartbeat_at - it.delay : led_since_;
  loss.set_unheard_ms(static_cast<uint64_t>((clock_.now() - heard_at).count()));
  it.loss_proposed = it.loss_proposed || loss.over();
  it.forget_proposed = it.forget_proposed || loss.gone();
  std::set<run_key> lost_runs(runs.begin(), runs.end());
  const bool crashed = shows_crash(it, cause);
  if (crashed) lost_runs.insert(it.lapsed.begin(), it.lapsed.end());
  for (const run_key& run : lost_runs) {
    fleet::run_loss& lost = *loss.add_runs();
    *lost.mutable_task() = to_ref(run.task);
    lost.set_run(static_cast<uint32_t>(run.run.value()));
    const auto row = it.rows.find(run);
    if (row != it.rows.end()) lost.set_saved(row->second.saved());
    lost.set_unstarted(!counts_as_begun(it, run));
  }
  if (crashed) add_crash_findings(it, lost_runs, loss);
  add_command(std::move(command));
  ++pending_losses_[it.id];
  log_event line(detail::service_name, log_level::info, "runs-over");
  line.with("worker", it.id.str())
      .with("runs", runs.size())
      .with("cause", name_of(cause))
      .with("known", it.has_heartbeat ? "yes" : "no");
  if (it.has_heartbeat)
    line.with("silent-ms", (clock_.now() - it.last_heartbeat_at).count());
  // Runs that were never listed may have caused the silence.
  const std::vector<run_key> unlisted = unlisted_of(it, runs);
  line.with("unlisted", to_text(unlisted))
      .with("unlisted-failures", failures_of(unlisted));
}

/// The runs whose start was sent and that the worker never listed.
std::vector<run_key> fleet_controller::unlisted_of(
    const worker_view& it, const std::vector<run_key>& runs) const {
  std::vector<run_key> out;
  for (const run_key& run : runs) {
    if (it.starts_sent_at.contains(run) && !has_begun(it, run))
      out.push_back(run);
  }
  return out;
}

/// The number of failed runs recorded against the tasks of these runs.
uint64_t fleet_controller::failures_of(const std::vector<run_key>& runs) const {
  uint64_t n = 0;
  for (const run_key& it : runs) {
    if (const task_entry* task = book_.find(it.task)) n += task->failures;
  }
  return n;
}

bool fleet_controller::is_held_up() const {
  return clock_.now() - ticked_at_ > detail::held_up_after;
}

/// A leader that stalled, or reads heartbeats late, has unread heartbeats
/// waiting, with ends in them. It processes these before it declares anything
/// lost, and waits longer until the backlog is read: otherwise it would declare
/// runs lost that are done, and start their tasks again. A leader that never
/// catches up declares losses all the same.
void fleet_controller::review_read_delay() {
  const time_point now = clock_.now();
  const bool held_up = is_held_up();
  const bool reads_late =
      late_heartbeats_since_tick_ >= detail::min_late_heartbeats &&
      late_heartbeats_since_tick_ * detail::late_share_divisor >
          heartbeats_since_tick_;
  ticked_at_ = now;
  heartbeats_since_tick_ = late_heartbeats_since_tick_ = 0;
  if (!held_up && !reads_late) return;
  if (now >= catching_up_until_) {
    // Repeated hold-ups must not defer losses forever.
    if (losses_reviewed_)
      losses_deferred_until_ = now + detail::read_backlog_grace;
    losses_reviewed_ = false;
    log_event(detail::service_name, log_level::warn, "reads-late")
        .with("cause", held_up ? "process held up" : "late heartbeats")
        .with("effect", "workers are declared lost later");
  }
  catching_up_until_ = now + detail::catch_up_time;
}

bool fleet_controller::defers_losses() const {
  return !losses_reviewed_ && clock_.now() < losses_deferred_until_;
}

milliseconds fleet_controller::loss_grace() const {
  return clock_.now() < catching_up_until_ ? detail::read_backlog_grace
                                           : milliseconds(0);
}

/// Logs the evidence that an incarnation is over.
void fleet_controller::log_survivor(const worker_view& it,
                                    const worker_view& next) const {
  const time_point now = clock_.now();
  log_event(detail::service_name, log_level::info, "life-outlived")
      .with("worker", it.id.str())
      .with("known", it.has_heartbeat ? "yes" : "no")
      .with("silent-ms", (now - it.last_heartbeat_at).count())
      .with("by", next.id.str())
      .with("heard-for-ms",
            (next.last_heartbeat_at - next.first_heartbeat_at).count())
      .with("own-ms", next.beat.clock_ms() - next.first_clock_ms)
      .with("last-heard-ms", (now - next.last_heartbeat_at).count());
}

/// Only one incarnation of a worker is alive. Runs of an incarnation that was
/// outlived are declared lost without waiting for its lease, so that a serving
/// task is back 1 s after its worker, not 7 s. Birth times can't decide which
/// incarnation has ended: they come from a clock that may be set back, and a
/// delayed heartbeat would end an incarnation whose runs continue.
void fleet_controller::review_restarts() {
  for (const std::string& name : workers_.shared_names()) {
    const std::vector<worker_view*>& incarnations =
        workers_.incarnations_of(name);
    for (worker_view* it : incarnations) {
      if (pending_losses_.contains(it->id)) continue;
      const worker_view* next =
          detail::find_survivor(incarnations, *it, loss_grace());
      if (next == nullptr) continue;
      log_survivor(*it, *next);
      const auto& runs = book_.runs_on(it->id);
      propose_loss(*it, {runs.begin(), runs.end()}, loss_cause::restarted);
    }
  }
}

/// Declares runs lost on workers whose lease has ended or whose machine runs
/// another incarnation.
void fleet_controller::review_silence() {
  const time_point now = clock_.now();
  worker_queue& watched = workers_.groups().watched;
  for (worker_view* due : watched.due_by(now)) {
    worker_view& it = *due;
    const auto& runs = book_.runs_on(it.id);
    // A heartbeat tells of the worker at the time at which it was sent.
    const time_point heard_at = it.last_heartbeat_at - it.delay;
    const bool recently_heard = now - heard_at < detail::dead_after;
    // A silent worker without runs is not urgent.
    const time_point next_review =
        runs.empty() ? now + detail::idle_review_interval : now;
    watched.set(it,
                recently_heard ? heard_at + detail::dead_after : next_review);
    if (recently_heard || it.leave_recorded_at ||
        pending_losses_.contains(it.id))
      continue;
    const bool lease_ended = now >= it.lease_expires_at + loss_grace();
    loss_cause cause = loss_cause::lease;
    if (now >= it.lease_expires_at + detail::silent_worker_retention) {
      cause = loss_cause::silent;
    }
    // A worker that this leader has not heard from yet may be about to call.
    const bool silent =
        it.has_heartbeat || now - led_since_ >= detail::dead_after;
    if (silent) {
      const worker_view* next =
          detail::find_replacement(workers_, it, loss_grace());
      if (next != nullptr) {
        log_survivor(it, *next);
        cause = loss_cause::replaced;
      }
    }
    const bool lapsed = lease_ended && !runs.empty();
    if (cause == loss_cause::lease && !lapsed) continue;
    if (cause == loss_cause::lease) {
      it.lapsed.insert(runs.begin(), runs.end());
    }
    propose_loss(it, {runs.begin(), runs.end()}, cause);
  }
}

/// When a worker that left has ended unless it was heard since: if it ran on,
/// its next call would have come in by then. Silence tells nothing of a worker
/// whose calls were missing before its leave already, nor of one that calls
/// long after its leave, for want of an acknowledgement: its runs may go on
/// until its lease ends.
time_point fleet_controller::left_worker_over_at(const worker_view& it) const {
  const lease_settings& leases = workers_.leases();
  const time_point left_at = *it.leave_recorded_at;
  if (!it.has_heartbeat) {
    // An earlier leader may have answered a call just before.
    return left_at + settings_.busy_heartbeat_interval + leases.answer_limit +
           leases.slack;
  }
  const bool was_missing =
      left_at > std::max(it.last_heartbeat_at, it.overdue_at());
  const bool calls_on = it.last_heartbeat_at - left_at > leases.answer_limit;
  if (was_missing || calls_on) return it.lease_expires_at;
  return std::max({left_at, it.last_heartbeat_at, it.call_due}) +
         leases.answer_limit + leases.slack;
}

/// Declares runs lost whose workers have left. The record of a leave does not
/// show that the worker has ended: one without an acknowledgement runs on for
/// seconds. A worker drops answers after `answer_limit`, so that a heartbeat
/// sent before the leave arrives within that time or is ignored.
void fleet_controller::review_leaves() {
  workers_.groups().left.retain_if([&](worker_view& it) {
    if (!it.leave_recorded_at) return false;
    if (pending_losses_.contains(it.id)) return true;
    if (clock_.now() < left_worker_over_at(it) + loss_grace()) return true;
    const auto& runs = book_.runs_on(it.id);
    propose_loss(it, {runs.begin(), runs.end()}, loss_cause::left);
    return true;
  });
}

}  // namespace kestrelreel

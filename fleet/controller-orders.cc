// Answers to the workers' heartbeats.
#include <algorithm>
#include <string>
#include <tuple>
#include <utility>

#include "base/text.h"
#include "fleet/controller.h"
#include "fleet/run-presence.h"
#include "kernel/log.h"

namespace kestrelreel {
namespace detail {

constexpr const char* service_name = "controller";
/// A worker with orders is answered before one whose lease ends earlier by up
/// to this much: a third of the longest lease, so that the leases of the other
/// workers hold.
constexpr milliseconds ordered_answer_lead{2'300};
/// A held call whose start is not committed yet is answered up to this much
/// later, well before the worker's call times out.
constexpr milliseconds held_start_grace{200};
/// A worker sends at least this many heartbeats per lease whatever the load, so
/// that the worker still gets work if one or two heartbeats are lost.
constexpr int min_calls_per_lease = 3;

std::vector<run_key> runs_of(const fleet::worker_orders& orders) {
  std::vector<run_key> out;
  for (const fleet::start_order& it : orders.starts()) {
    out.push_back({to_key(it.task()), run_number(it.run())});
  }
  return out;
}

}  // namespace detail

/// True when the run should no longer be alive.
bool fleet_controller::should_stop(const run_key& run) const {
  const task_entry* task = book_.find(run.task);
  return moving_.contains(run) || evicting_.contains(run) || task == nullptr ||
         task->phase != task_phase::running || task->run != run.run;
}

/// A worker reports an end in its next heartbeat. If the worker leaves before
/// that, the task is started again although it is done, or only once the
/// worker's silence shows that it has ended. Runs of a draining worker are
/// therefore stopped while the end of the stop can still be reported, which
/// takes two heartbeats and the wait for the log, and as much again for each
/// further list of ends. A worker that calls on after its leave may end at any
/// time.
bool fleet_controller::must_vacate(const worker_view& it) const {
  if (it.leave_recorded_at) return true;
  if (!it.beat.draining()) return false;
  const milliseconds remaining =
      milliseconds(static_cast<int64_t>(it.beat.remaining_ms())) - it.delay -
      (clock_.now() - it.last_heartbeat_at);
  const milliseconds interval = heartbeat_interval(it);
  const milliseconds per_list = interval + settings_.max_answer_wait;
  const size_t per_heartbeat = it.beat.max_ended();
  const size_t further_lists =
      per_heartbeat == 0 ? 0 : book_.runs_on(it.id).size() / per_heartbeat;
  return remaining <= settings_.worker_stop + interval + per_list +
                          per_list * static_cast<int64_t>(further_lists);
}

bool fleet_controller::is_long_running(const run_key& run) const {
  const fleet::step_spec* step = book_.find_step(run.task);
  return step != nullptr && step->long_running();
}

void fleet_controller::record_vacated(worker_view& it) {
  if (it.vacated) return;
  const size_t evicted = book_.runs_on(it.id).size();
  metrics_.counter("kestrelreel_evictions_total",
                   {{"cause", "worker-leaves"}}) += evicted;
  log_event(detail::service_name, log_level::info, "worker-vacated")
      .with("worker", it.id.str())
      .with("runs", evicted)
      .with("remaining-ms", it.beat.remaining_ms())
      .with("told-ms-ago", (clock_.now() - it.last_heartbeat_at).count());
}

bool fleet_controller::answer_is_due(const worker_view& it,
                                     bool recorded) const {
  // A start proposed late in a hold needs time to be committed as well.
  const milliseconds max_wait =
      it.was_held ? settings_.idle_call_hold + detail::held_start_grace
                  : settings_.max_answer_wait;
  if (clock_.now() - it.call_received_at >= max_wait) return true;
  return recorded && it.proposed_starts.empty() &&
         it.last_end_proposed <= book_.last_end(it.id);
}

/// Answers a call whose worker no longer waits for the answer, without lease or
/// orders.
bool fleet_controller::reject_late_call(worker_view& it) {
  const milliseconds age = clock_.now() - it.call_received_at + it.delay;
  if (age < workers_.leases().answer_limit) return false;
  ++metrics_.counter("kestrelreel_answers_late_total");
  // The worker calls another box now.
  it.starts_kept_until = clock_.now() + max_call_delay;
  std::exchange(it.respond, nullptr)(make_response(fleet::fleet_ok, "late"));
  return true;
}

/// True while the book has a run there that the worker may not have begun: the
/// answer with its order may have come too late.
bool fleet_controller::awaits_start(const worker_view& it) const {
  const auto& runs = book_.runs_on(it.id);
  return std::any_of(runs.begin(), runs.end(),
                     [&](const run_key& run) { return !has_begun(it, run); });
}

/// Returns at most one turn's answers, those with the earliest end of lease
/// first; workers with orders are moved ahead by `ordered_answer_lead`. Serving
/// the longest wait first would make every answer reach its worker after the
/// worker's call has timed out.
std::vector<worker_view*> fleet_controller::due_answers() {
  std::vector<worker_view*> due;
  for (worker_view* it : workers_.groups().held_calls.due_by(clock_.now())) {
    workers_.groups().held_calls.remove(*it);
    workers_.groups().calling.add(*it);
  }
  workers_.groups().calling.retain_if([&](worker_view& it) {
    if (!it.respond || reject_late_call(it)) return false;
    const bool recorded = record_orders(it);
    if (answer_is_due(it, recorded)) due.push_back(&it);
    return true;
  });
  const size_t max_answers = settings_.max_answers_per_turn *
                             leader_lag::normal_percent /
                             lag_.stretch_percent();
  answers_deferred_ = due.size() > max_answers;
  if (due.size() <= max_answers) return due;
  std::vector<std::tuple<time_point, uint64_t, worker_view*>> by_deadline;
  by_deadline.reserve(due.size());
  for (worker_view* it : due) {
    const bool ordered = !it->unsent_starts.empty() || it->awaits_start;
    const milliseconds lead =
        ordered ? detail::ordered_answer_lead : milliseconds(0);
    by_deadline.emplace_back(it->lease_expires_at - lead, it->ordinal, it);
  }
  std::nth_element(
      by_deadline.begin(),
      by_deadline.begin() + static_cast<std::ptrdiff_t>(max_answers),
      by_deadline.end());
  due.clear();
  for (size_t i = 0; i < max_answers; ++i)
    due.push_back(std::get<worker_view*>(by_deadline[i]));
  has_pending_decisions_ = true;
  return due;
}

/// True while there are starts of long-running tasks for the worker that no
/// answer has carried. Most workers have starts of short tasks on their way at
/// any time: asking them all to call at once would feed the lag.
bool fleet_controller::awaits_long_running_start(const worker_view& it) const {
  return std::any_of(it.proposed_starts.begin(), it.proposed_starts.end(),
                     [](const auto& p) { return p.second.long_running(); }) ||
         std::any_of(
             it.unsent_starts.begin(), it.unsent_starts.end(),
             [this](const auto& p) { return is_long_running(p.first); });
}

void fleet_controller::answer(worker_view& it) {
  ++load_.answers;
  fleet::fleet_response response;
  response.set_status(fleet::fleet_ok);
  *response.mutable_orders() = orders_for(it);
  const bool calls_for_starts = awaits_long_running_start(it);
  const milliseconds pause = calls_for_starts
                                 ? settings_.busy_heartbeat_interval
                                 : heartbeat_interval(it);
  response.mutable_orders()->set_next_beat_ms(
      static_cast<uint64_t>(pause.count()));
  workers_.granted(it, pause);
  // A call that is not answered in time is followed by one to another box.
  if (calls_for_starts)
    it.starts_kept_until = it.overdue_at() + workers_.leases().answer_limit;
  std::exchange(it.respond, nullptr)(std::move(response));
}

/// The heartbeat interval at which all workers together make this many calls.
milliseconds fleet_controller::interval_for(uint64_t calls_per_s) const {
  constexpr uint64_t ms_per_s = 1'000;
  return milliseconds(
      static_cast<int64_t>(workers_.views().size() * ms_per_s / calls_per_s));
}

/// True where heartbeats are so infrequent that work which just misses one
/// would wait long for the next.
bool fleet_controller::may_hold_calls() const {
  return interval_for(settings_.max_heartbeats_per_s) >
         settings_.idle_heartbeat_interval;
}

bool fleet_controller::is_idle(const worker_view& it) const {
  return it.rows.empty() && it.proposed_starts.empty() &&
         book_.runs_on(it.id).empty();
}

milliseconds fleet_controller::heartbeat_interval(const worker_view& it) const {
  const bool busy = !it.rows.empty() || !book_.live().empty();
  const milliseconds target = busy ? settings_.busy_heartbeat_interval
                                   : settings_.idle_heartbeat_interval;
  milliseconds pause =
      std::max(target, interval_for(settings_.max_heartbeats_per_s));
  if (may_hold_calls() && is_idle(it)) {
    // A worker whose run has just ended soon has capacity for more work.
    if (it.beat.ended_size() > 0) pause = target;
    if (it.was_held) {
      pause = interval_for(settings_.max_idle_heartbeats_per_s) -
              settings_.idle_call_hold;
    }
  }
  const milliseconds max_pause =
      workers_.leases().duration / detail::min_calls_per_lease;
  // Only heartbeats without ends are delayed: a worker reports ends at once
  // whatever its interval.
  return std::min(lag_.stretched(pause), std::max(target, max_pause));
}

/// Holds an idle worker's call open for work that may arrive; returns false if
/// the call is to be answered now. Answers to a worker that leaves, lists runs
/// or reports ends are never held.
bool fleet_controller::hold_call(worker_view& it) {
  const bool is_first = it.lease_expires_at == time_point{};
  it.was_held = may_hold_calls() && !is_first && is_idle(it) &&
                !it.is_leaving && !it.beat.draining() &&
                it.beat.ended_size() == 0 &&
                it.delay < settings_.idle_call_hold;
  if (!it.was_held) return false;
  workers_.groups().held_calls.set(
      it, it.call_received_at + settings_.idle_call_hold - it.delay);
  return true;
}

fleet::worker_orders fleet_controller::orders_for(worker_view& it) {
  fleet::worker_orders orders;
  const auto hold = workers_.leases().duration.count();
  orders.set_hold_ms(static_cast<uint64_t>(hold));
  orders.set_last_end(book_.last_end(it.id));
  orders.set_fence(log_.term().value());
  if (workers_.views().size() <= settings_.max_direct_workers) {
    orders.set_beat_at(settings_.heartbeat_address);
  }
  add_stops(it, orders);
  add_paces(it, orders);
  add_starts(it, orders);
  log_orders(it, orders);
  return orders;
}

/// Logs an acknowledgement only when it advances, and all starts of an answer
/// in one line: a few hundred lines a second at most, for a thousand starts.
void fleet_controller::log_orders(worker_view& it,
                                  const fleet::worker_orders& orders) const {
  if (it.last_end_acknowledged != orders.last_end()) {
    it.last_end_acknowledged = orders.last_end();
    log_event(detail::service_name,
              is_starting_or_leaving(it) ? log_level::info : log_level::debug,
              "ends-acknowledged")
        .with("worker", it.id.str())
        .with("sequence", it.beat.sequence())
        .with("last", it.last_end_acknowledged);
  }
  if (orders.starts_size() == 0) return;
  log_event(detail::service_name, log_level::info, "starts-sent")
      .with("worker", it.id.str())
      .with("sequence", it.beat.sequence())
      .with("count", orders.starts_size())
      .with("runs", to_text(detail::runs_of(orders)));
}

/// True when the worker's runs in the book exceed its capacity because the
/// capacity has shrunk since they were placed.
bool fleet_controller::is_overcommitted(worker_view& it) {
  if (std::exchange(it.load_is_stale, false)) it.load = scheduler_.load_of(it);
  return !it.load.fits_in(capacity_of(it.beat));
}

bool fleet_controller::guards_capacity(const std::string& pool) const {
  const auto& pools = book_.config().pools();
  return std::any_of(pools.begin(), pools.end(), [&](const auto& it) {
    return it.name() == pool && it.guards_capacity();
  });
}

/// A run that was declared lost occupies capacity for as long as its worker
/// lists it. A worker that guards its capacity refuses tasks that don't fit
/// together with such a run.
void fleet_controller::update_unrecorded_runs(worker_view& it) const {
  if (guards_capacity(it.beat.pool())) return;
  const auto& runs = book_.runs_on(it.id);
  const bool has_unrecorded =
      std::any_of(it.rows.begin(), it.rows.end(),
                  [&](auto& row) { return !runs.contains(row.first); });
  if (has_unrecorded || it.lists_unrecorded) it.load_is_stale = true;
  it.lists_unrecorded = has_unrecorded;
}

void fleet_controller::add_stops(worker_view& it,
                                 fleet::worker_orders& orders) {
  const auto add = [&](const run_key& run) {
    fleet::stop_order& stop = *orders.add_stops();
    *stop.mutable_task() = to_ref(run.task);
    stop.set_run(static_cast<uint32_t>(run.run.value()));
  };
  const bool vacates = must_vacate(it);
  if (vacates) record_vacated(it);
  it.vacated = vacates;
  for (const run_key& run : book_.runs_on(it.id)) {
    const bool must_stop = vacates || should_stop(run);
    if (must_stop && presence_of(it, run) != run_presence::ended) add(run);
  }
  // Unrecorded runs were declared lost before.
  for (const auto& [run, row] : it.rows) {
    if (!book_.runs_on(it.id).contains(run)) add(run);
  }
}

void fleet_controller::add_paces(worker_view& it,
                                 fleet::worker_orders& orders) {
  for (const auto& [run, row] : it.rows) {
    const fleet::step_spec* step = book_.find_step(run.task);
    if (step == nullptr || !step->fills()) continue;
    const auto sent = it.sent_paces.find(run);
    const auto wanted = it.pace.find(run);
    if (wanted == it.pace.end()) continue;
    if (sent == it.sent_paces.end() && wanted->second == full_pace_percent)
      continue;
    if (sent != it.sent_paces.end() && sent->second == wanted->second) continue;
    it.sent_paces[run] = wanted->second;
    fleet::pace_order& pace = *orders.add_paces();
    *pace.mutable_task() = to_ref(run.task);
    pace.set_run(static_cast<uint32_t>(run.run.value()));
    pace.set_percent(wanted->second);
  }
  std::erase_if(it.sent_paces,
                [&](const auto& p) { return !it.rows.contains(p.first); });
  const auto& runs = book_.runs_on(it.id);
  const auto is_over = [&](const auto& p) { return !runs.contains(p.first); };
  std::erase_if(it.starts_sent_at, is_over);
  std::erase_if(it.start_offers, is_over);
}

}  // namespace kestrelreel

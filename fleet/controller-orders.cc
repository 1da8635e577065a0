// What the leader answers to the workers' heartbeats.
#include <algorithm>
#include <string>
#include <tuple>
#include <utility>

#include "base/text.h"
#include "fleet/controller.h"
#include "kernel/log.h"

namespace kestrelreel {
namespace detail {

constexpr const char* service_name = "controller";
/// A worker to whom something was ordered is answered before one whose lease is
/// over by so much later: a third of the longest lease, so that leases of the
/// others hold.
constexpr milliseconds order_lead{2'300};
/// A held call with a start on its way is answered so much later at most: it
/// comes well before its worker turns elsewhere.
constexpr milliseconds held_extra{200};
/// A worker calls at least so many times in a lease, whatever the load: a call
/// or two may be lost, and it still gets work.
constexpr int least_calls_a_lease = 3;

std::vector<run_key> runs_of(const fleet::worker_orders& orders) {
  std::vector<run_key> out;
  for (const fleet::start_order& it : orders.starts()) {
    out.push_back({to_key(it.task()), run_number(it.run())});
  }
  return out;
}

}  // namespace detail

bool fleet_controller::lists_end(const worker_view& it,
                                 const run_key& run) const {
  const auto& ended = it.beat.ended();
  return std::any_of(ended.begin(), ended.end(), [&](const auto& end) {
    return to_key(end.task()) == run.task && run_number(end.run()) == run.run;
  });
}

/// True when the run should no longer be alive.
bool fleet_controller::should_stop(const run_key& run) const {
  const task_entry* task = book_.find(run.task);
  return moving_.contains(run) || yielding_.contains(run) || task == nullptr ||
         task->phase != task_phase::running || task->run != run.run;
}

/// An end is told in the next heartbeat, which a worker that is gone sends no
/// more: its task would start again after it was done. So what runs there is
/// stopped while the stop's own end can still be told, two heartbeats and the
/// wait for the log later. Lasting tasks serve to the end: theirs count for
/// nothing.
bool fleet_controller::must_vacate(const worker_view& it) const {
  if (!it.beat.draining()) return false;
  const milliseconds left =
      milliseconds(static_cast<int64_t>(it.beat.remaining_ms())) - it.delay -
      (clock_.now() - it.last_heartbeat_at);
  return left <=
         settings_.worker_stop + 2 * next_beat(it) + settings_.answer_wait;
}

bool fleet_controller::is_lasting(const run_key& run) const {
  const fleet::step_spec* step = book_.find_step(run.task);
  return step != nullptr && step->long_running();
}

void fleet_controller::note_vacated(worker_view& it) {
  if (it.vacated) return;
  const auto& runs = book_.runs_on(it.id);
  const auto n = static_cast<uint64_t>(
      std::count_if(runs.begin(), runs.end(),
                    [this](const run_key& run) { return !is_lasting(run); }));
  metrics_.counter("kestrelreel_evictions_total",
                   {{"cause", "worker-leaves"}}) += n;
  log_event(detail::service_name, log_level::info, "worker-vacated")
      .with("worker", it.id.str())
      .with("runs", n)
      .with("remaining-ms", it.beat.remaining_ms())
      .with("told-ms-ago", (clock_.now() - it.last_heartbeat_at).count());
}

bool fleet_controller::answer_is_due(const worker_view& it,
                                     bool recorded) const {
  // A start that is proposed late in a hold needs the log's time, too.
  const milliseconds wait = it.was_held
                                ? settings_.call_hold + detail::held_extra
                                : settings_.answer_wait;
  if (clock_.now() - it.call_received_at >= wait) return true;
  return recorded && it.proposed_starts.empty() &&
         it.last_end_proposed <= book_.last_end(it.id);
}

/// A worker that has turned elsewhere would be granted and ordered nothing.
bool fleet_controller::give_up_late(worker_view& it) {
  const milliseconds age = clock_.now() - it.call_received_at + it.delay;
  if (age < workers_.leases().answer_limit) return false;
  ++metrics_.counter("kestrelreel_answers_late_total");
  std::exchange(it.respond, nullptr)(make_response(fleet::fleet_ok, "late"));
  return true;
}

/// True while the book has a run there that the worker does not list: the
/// answer that ordered it may have come too late.
bool fleet_controller::awaits_start(const worker_view& it) const {
  const auto& runs = book_.runs_on(it.id);
  return std::any_of(runs.begin(), runs.end(), [&](const run_key& run) {
    return !it.rows.contains(run) && !lists_end(it, run);
  });
}

/// No more than a turn's, those first whose leases are over soonest, and sooner
/// by some those to whom something was ordered: with the longest waits first,
/// each answer comes when its worker has turned elsewhere.
std::vector<worker_view*> fleet_controller::due_answers() {
  std::vector<worker_view*> due;
  for (worker_view* it : workers_.groups().held_calls.due_by(clock_.now())) {
    workers_.groups().held_calls.remove(*it);
    workers_.groups().calling.add(*it);
  }
  workers_.groups().calling.retain_if([&](worker_view& it) {
    if (!it.respond || give_up_late(it)) return false;
    const bool recorded = record_orders(it);
    if (answer_is_due(it, recorded)) due.push_back(&it);
    return true;
  });
  const size_t most = settings_.most_answers * leader_lag::usual_percent /
                      lag_.stretch_percent();
  answers_left_ = due.size() > most;
  if (due.size() <= most) return due;
  std::vector<std::tuple<time_point, uint64_t, worker_view*>> turns;
  turns.reserve(due.size());
  for (worker_view* it : due) {
    const bool ordered = !it->unsent_starts.empty() || it->awaits_start;
    const milliseconds lead = ordered ? detail::order_lead : milliseconds(0);
    turns.emplace_back(it->lease_expires_at - lead, it->ordinal, it);
  }
  std::nth_element(turns.begin(),
                   turns.begin() + static_cast<std::ptrdiff_t>(most),
                   turns.end());
  due.clear();
  for (size_t i = 0; i < most; ++i)
    due.push_back(std::get<worker_view*>(turns[i]));
  unsettled_ = true;
  return due;
}

void fleet_controller::answer(worker_view& it) {
  ++load_.answers;
  fleet::fleet_response response;
  response.set_status(fleet::fleet_ok);
  *response.mutable_orders() = orders_for(it);
  const milliseconds pause = next_beat(it);
  response.mutable_orders()->set_next_beat_ms(
      static_cast<uint64_t>(pause.count()));
  workers_.granted(it, pause);
  std::exchange(it.respond, nullptr)(std::move(response));
}

/// The pause between a worker's calls at which all of them make so many.
milliseconds fleet_controller::interval_for(uint64_t calls_per_s) const {
  constexpr uint64_t ms_per_s = 1'000;
  return milliseconds(
      static_cast<int64_t>(workers_.views().size() * ms_per_s / calls_per_s));
}

/// True where a call that comes too early for work would be long in coming
/// again.
bool fleet_controller::holds_calls() const {
  return interval_for(settings_.beats_per_s) > settings_.idle_beat;
}

bool fleet_controller::is_idle(const worker_view& it) const {
  return it.rows.empty() && it.proposed_starts.empty() &&
         book_.runs_on(it.id).empty();
}

milliseconds fleet_controller::next_beat(const worker_view& it) const {
  const bool busy = !it.rows.empty() || !book_.live().empty();
  const milliseconds wished = busy ? settings_.busy_beat : settings_.idle_beat;
  milliseconds pause = std::max(wished, interval_for(settings_.beats_per_s));
  if (holds_calls() && is_idle(it)) {
    // One whose work has just ended is soon there for more.
    if (it.beat.ended_size() > 0) pause = wished;
    if (it.was_held) {
      pause = interval_for(settings_.idle_beats_per_s) - settings_.call_hold;
    }
  }
  const milliseconds most =
      workers_.leases().duration / detail::least_calls_a_lease;
  // Calls with ends come at once all the same: what is put off says nothing.
  return std::min(lag_.stretched(pause), std::max(wished, most));
}

/// Holds the call for work that may come, where that is better than to wait for
/// the worker's next one; false where it is to be answered now. What is told of
/// a worker's end or of its runs is never held up.
bool fleet_controller::hold_call(worker_view& it) {
  const bool first = it.lease_expires_at == time_point{};
  it.was_held = holds_calls() && !first && is_idle(it) && !it.is_leaving &&
                !it.beat.draining() && it.beat.ended_size() == 0 &&
                it.delay < settings_.call_hold;
  if (!it.was_held) return false;
  workers_.groups().held_calls.set(
      it, it.call_received_at + settings_.call_hold - it.delay);
  return true;
}

fleet::worker_orders fleet_controller::orders_for(worker_view& it) {
  fleet::worker_orders orders;
  const auto hold = workers_.leases().duration.count();
  orders.set_hold_ms(static_cast<uint64_t>(hold));
  orders.set_last_end(book_.last_end(it.id));
  orders.set_fence(log_.term().value());
  if (workers_.views().size() <= settings_.direct_workers) {
    orders.set_beat_at(settings_.beat_address);
  }
  add_starts(it, orders);
  add_stops(it, orders);
  add_paces(it, orders);
  log_orders(it, orders);
  return orders;
}

/// What is acknowledged when it moves, and the starts of an answer in one line:
/// at most some hundred a second, where starts are a thousand.
void fleet_controller::log_orders(worker_view& it,
                                  const fleet::worker_orders& orders) const {
  if (it.last_end_acknowledged != orders.last_end()) {
    it.last_end_acknowledged = orders.last_end();
    log_event(detail::service_name,
              is_near_end(it) ? log_level::info : log_level::debug,
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

/// True where the runs in the book ask for more than there is, as the worker's
/// room has shrunk since they were placed.
bool fleet_controller::is_overfull(worker_view& it) {
  if (std::exchange(it.load_is_stale, false)) it.load = scheduler_.load_of(it);
  return !it.load.fits_in(capacity_of(it.beat));
}

bool fleet_controller::guards_capacity(const std::string& pool) const {
  const auto& pools = book_.config().pools();
  return std::any_of(pools.begin(), pools.end(), [&](const auto& it) {
    return it.name() == pool && it.guards_capacity();
  });
}

/// A run that was given up on takes room for as long as its worker lists it. A
/// worker that guards its capacity refuses what doesn't fit beside it.
void fleet_controller::note_unrecorded(worker_view& it) const {
  if (guards_capacity(it.beat.pool())) return;
  const auto& runs = book_.runs_on(it.id);
  const bool any = std::any_of(it.rows.begin(), it.rows.end(), [&](auto& row) {
    return !runs.contains(row.first);
  });
  if (any || it.lists_unrecorded) it.load_is_stale = true;
  it.lists_unrecorded = any;
}

/// The starts that an answer given now would bring: those that the worker does
/// not list yet.
std::vector<run_key> fleet_controller::starts_for(worker_view& it) {
  // While runs there are being given up on, none of them may begin after all.
  if (!takes_starts(it) || losing_.contains(it.id)) return {};
  // An order in an answer that its worker drops holds room for nothing until
  // its next call; one that was sent in none can be taken back.
  if (lag_.behind() && !scheduler_.is_open(it)) return {};
  if (is_overfull(it)) return {};
  std::vector<run_key> out;
  for (const run_key& run : book_.runs_on(it.id)) {
    const bool over = lists_end(it, run) || should_stop(run);
    if (!over && !it.rows.contains(run)) out.push_back(run);
  }
  return out;
}

/// A start goes out again with each answer until the worker lists the run.
void fleet_controller::add_starts(worker_view& it,
                                  fleet::worker_orders& orders) {
  for (const run_key& run : starts_for(it)) {
    if (!order_is_recorded(run)) continue;
    const task_entry& task = *book_.find(run.task);
    fleet::start_order& start = *orders.add_starts();
    *start.mutable_task() = to_ref(run.task);
    start.set_run(static_cast<uint32_t>(run.run.value()));
    start.set_text(book_.find(run.task.job)->spec.text());
    start.set_saved(task.saved);
    it.starts_sent_at[run] = clock_.now();
    it.unsent_starts.erase(run);
    in_vain_.erase(run.task);
    it.awaits_start = true;
  }
}

void fleet_controller::add_stops(worker_view& it,
                                 fleet::worker_orders& orders) {
  const auto add = [&](const run_key& run) {
    fleet::stop_order& stop = *orders.add_stops();
    *stop.mutable_task() = to_ref(run.task);
    stop.set_run(static_cast<uint32_t>(run.run.value()));
  };
  const bool all = must_vacate(it);
  if (all) note_vacated(it);
  it.vacated = all;
  for (const run_key& run : book_.runs_on(it.id)) {
    const bool over = (all && !is_lasting(run)) || should_stop(run);
    if (over && !lists_end(it, run)) add(run);
  }
  // What runs there without being recorded was given up on.
  for (const auto& [run, row] : it.rows) {
    if (!book_.runs_on(it.id).contains(run)) add(run);
  }
}

void fleet_controller::add_paces(worker_view& it,
                                 fleet::worker_orders& orders) {
  for (const auto& [run, row] : it.rows) {
    const fleet::step_spec* step = book_.find_step(run.task);
    if (step == nullptr || !step->fills()) continue;
    const auto told = it.sent_paces.find(run);
    const auto wanted = it.pace.find(run);
    if (wanted == it.pace.end()) continue;
    if (told == it.sent_paces.end() && wanted->second == full_pace_percent)
      continue;
    if (told != it.sent_paces.end() && told->second == wanted->second) continue;
    it.sent_paces[run] = wanted->second;
    fleet::pace_order& pace = *orders.add_paces();
    *pace.mutable_task() = to_ref(run.task);
    pace.set_run(static_cast<uint32_t>(run.run.value()));
    pace.set_percent(wanted->second);
  }
  std::erase_if(it.sent_paces,
                [&](const auto& p) { return !it.rows.contains(p.first); });
  std::erase_if(it.starts_sent_at, [&](const auto& p) {
    return !book_.runs_on(it.id).contains(p.first);
  });
}

}  // namespace kestrelreel

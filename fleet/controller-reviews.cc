// Which runs the leader gives up on: of workers that fell silent, of machines
// that live on under another identity, and those that never began.
#include <algorithm>
#include <chrono>
#include <optional>
#include <string>

#include "fleet/controller.h"
#include "kernel/log.h"

namespace kestrelreel {
namespace detail {

constexpr const char* service_name = "controller";
/// The controller's tick is due every 100 ms. One that comes so late shows that
/// the process was held up.
constexpr milliseconds held_up_after{400};
/// So many late heartbeats between two ticks, and more than one in so many,
/// show that heartbeats wait unread.
constexpr unsigned min_late_heartbeats = 3;
constexpr unsigned late_share_divisor = 5;
/// Reading what waits takes less: a worker drops a call after a second.
constexpr milliseconds catch_up_time{1'000};
/// How much longer a leader that is behind waits for what it has not read yet,
/// before it gives up on anything. No more: a run whose lease is over is over
/// however late it reads, and one that lasts must run again within 9 s of its
/// end, of which the longest lease takes 7.2 and an order one.
constexpr milliseconds read_backlog_grace{700};
/// A worker calls at least this often; one that was silent for longer, while
/// another life of its machine was heard, is over.
constexpr milliseconds dead_after{2'000};
/// Silent workers without runs are looked at this often.
constexpr milliseconds idle_review_interval{1'000};
/// Silent workers without runs are forgotten after this.
constexpr milliseconds silent_worker_retention{60'000};
/// A run ordered so long ago, and not there, never will be: covers the time
/// after which a worker drops an answer, and the way of its next heartbeat.
constexpr milliseconds order_margin{500};
/// Such runs are looked for with a pause of so much for each worker: a look at
/// a worker's runs takes 2 us.
constexpr std::chrono::microseconds unstarted_review_per_worker{400};
/// True when `o` shows that the life of `it`, at the same place, is over: a
/// heartbeat of an earlier life may arrive after the next one began, even
/// several after a cut, seconds apart. Only a worker that got answers lives,
/// and that has called for a while, by our clock and by its own, and since the
/// other fell silent.
bool has_outlived(const worker_view& o, const worker_view& it,
                  milliseconds loss_grace) {
  const milliseconds least = sure_life + loss_grace;
  const milliseconds own_clock(
      static_cast<int64_t>(o.beat.clock_ms() - o.first_clock_ms));
  return o.answered && o.id != it.id && o.told > it.told &&
         o.first_told > it.first_told &&
         o.told - std::max(o.first_told, it.told) >= least &&
         own_clock >= least;
}

/// The first of them that outlives `it`; null where none does.
const worker_view* find_survivor(const std::vector<worker_view*>& all,
                                 const worker_view& it,
                                 milliseconds loss_grace) {
  const auto found =
      std::find_if(all.begin(), all.end(), [&](const worker_view* other) {
        return !other->over && has_outlived(*other, it, loss_grace);
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
      return "silent for long";
    case loss_cause::replaced:
      return "its machine lives on as another";
    case loss_cause::restarted:
      return "its worker started again";
    case loss_cause::left:
      return "it left";
    case loss_cause::left_serving:
      return "it left, lasting tasks";
    case loss_cause::unsent:
      return "sent in no answer";
    case loss_cause::lease:
      break;
  }
  return "lease over or never begun";
}

void fleet_controller::propose_loss(worker_view& it,
                                    const std::vector<run_key>& runs,
                                    loss_cause cause) {
  fleet::fleet_command command;
  fleet::worker_loss& loss = *command.mutable_loss();
  loss.set_worker(it.id.str());
  loss.set_gone(cause != loss_cause::lease && cause != loss_cause::unsent &&
                cause != loss_cause::left_serving);
  loss.set_over(cause == loss_cause::replaced ||
                cause == loss_cause::restarted || cause == loss_cause::left);
  loss.set_silent(cause == loss_cause::lease && !it.lapsed.empty());
  it.over = loss.over();
  std::set<run_key> all(runs.begin(), runs.end());
  const bool crashed = shows_crash(it, cause);
  if (crashed) all.insert(it.lapsed.begin(), it.lapsed.end());
  for (const run_key& run : all) {
    fleet::run_loss& lost = *loss.add_runs();
    *lost.mutable_task() = to_ref(run.task);
    lost.set_run(static_cast<uint32_t>(run.run.value()));
    const auto row = it.rows.find(run);
    if (row != it.rows.end()) lost.set_saved(row->second.saved());
  }
  if (crashed) add_crash_findings(it, all, loss);
  add_command(std::move(command));
  proposed_losses_[it.id].insert(runs.begin(), runs.end());
  log_event line(detail::service_name, log_level::info, "runs-over");
  line.with("worker", it.id.str())
      .with("runs", runs.size())
      .with("cause", name_of(cause))
      .with("known", it.known ? "yes" : "no");
  if (it.known) line.with("silent-ms", (clock_.now() - it.told).count());
  // These may be why the worker fell silent.
  const std::vector<run_key> unlisted = unlisted_of(it, runs);
  line.with("unlisted", to_text(unlisted))
      .with("unlisted-failures", failures_of(unlisted));
}

/// The runs whose start was sent, and that the worker never listed.
std::vector<run_key> fleet_controller::unlisted_of(
    const worker_view& it, const std::vector<run_key>& runs) const {
  std::vector<run_key> out;
  for (const run_key& run : runs) {
    const bool listed = it.rows.contains(run) || lists_end(it, run);
    if (it.sent.contains(run) && !listed) out.push_back(run);
  }
  return out;
}

/// How many ends of earlier runs the book holds against their tasks.
uint64_t fleet_controller::failures_of(const std::vector<run_key>& runs) const {
  uint64_t n = 0;
  for (const run_key& it : runs) {
    if (const task_entry* task = book_.find(it.task)) n += task->failures;
  }
  return n;
}

/// A leader that was held up, or reads heartbeats late, has ends and signs of
/// life waiting unread: it reads on before it gives up on anything, and is
/// slower to do so until it has caught up. Else it gives up on runs that ended
/// well and starts their tasks again. One that never catches up gives up all
/// the same.
void fleet_controller::review_read_delay() {
  const time_point now = clock_.now();
  const bool held_up = now - ticked_at_ > detail::held_up_after;
  const bool reads_late =
      late_heartbeats_since_tick_ >= detail::min_late_heartbeats &&
      late_heartbeats_since_tick_ * detail::late_share_divisor >
          heartbeats_since_tick_;
  ticked_at_ = now;
  heartbeats_since_tick_ = late_heartbeats_since_tick_ = 0;
  if (!held_up && !reads_late) return;
  if (now >= catching_up_until_) {
    // Held up again and again, it would read on for ever.
    if (losses_reviewed_)
      losses_deferred_until_ = now + detail::read_backlog_grace;
    losses_reviewed_ = false;
    log_event(detail::service_name, log_level::warn, "reads-late")
        .with("cause", held_up ? "held up" : "late heartbeats")
        .with("effect", "workers are given up on later");
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

/// What the belief rests on that a life is over.
void fleet_controller::log_survivor(const worker_view& it,
                                    const worker_view& next) const {
  const time_point now = clock_.now();
  log_event(detail::service_name, log_level::info, "life-outlived")
      .with("worker", it.id.str())
      .with("known", it.known ? "yes" : "no")
      .with("silent-ms", (now - it.told).count())
      .with("by", next.id.str())
      .with("heard-for-ms", (next.told - next.first_told).count())
      .with("own-ms", next.beat.clock_ms() - next.first_clock_ms)
      .with("last-heard-ms", (now - next.told).count());
}

/// A worker lives once: what ran in a life that another one outlives is over,
/// and no lease is waited for, so that a serving task is away for 1 s after its
/// worker is back, not for 7. Births do not tell which life is over: they are
/// read from a clock that may be set back, and a held-up heartbeat would end a
/// life whose runs go on.
void fleet_controller::review_restarts() {
  for (const std::string& name : workers_.shared_names()) {
    const std::vector<worker_view*>& lives = workers_.lives_of(name);
    for (worker_view* it : lives) {
      if (proposed_losses_.contains(it->id)) continue;
      const worker_view* next = detail::find_survivor(lives, *it, loss_grace());
      if (next == nullptr) continue;
      log_survivor(*it, *next);
      const auto& alive = book_.runs_on(it->id);
      propose_loss(*it, {alive.begin(), alive.end()}, loss_cause::restarted);
    }
  }
}

/// Gives up on what runs at workers whose lease is over, or whose machine has
/// begun another life.
void fleet_controller::review_silence() {
  const time_point now = clock_.now();
  worker_queue& watched = workers_.marks().watched;
  for (worker_view* due : watched.due_by(now)) {
    worker_view& it = *due;
    const auto& alive = book_.runs_on(it.id);
    const bool spoke = now - it.told < detail::dead_after;
    // Of one that runs nothing nothing is missed.
    const time_point soon =
        alive.empty() ? now + detail::idle_review_interval : now;
    watched.set(it, spoke ? it.told + detail::dead_after : soon);
    if (spoke || it.left_at || proposed_losses_.contains(it.id)) continue;
    const bool over = now >= it.over_at + loss_grace();
    loss_cause cause = loss_cause::lease;
    if (now >= it.over_at + detail::silent_worker_retention) {
      cause = loss_cause::silent;
    }
    // One that this leader never heard may be about to call.
    const bool silent = it.known || now - led_since_ >= detail::dead_after;
    if (silent) {
      const worker_view* next =
          detail::find_replacement(workers_, it, loss_grace());
      if (next != nullptr) {
        log_survivor(it, *next);
        cause = loss_cause::replaced;
      }
    }
    const bool lapsed = over && !alive.empty();
    if (cause == loss_cause::lease && !lapsed) continue;
    if (cause == loss_cause::lease) {
      it.lapsed.insert(alive.begin(), alive.end());
    }
    propose_loss(it, {alive.begin(), alive.end()}, cause);
  }
}

/// A worker drops answers after `answer_limit`, so that a heartbeat sent before
/// its leave comes within that or counts for nothing. One that calls after its
/// leave is not gone yet. No end of a lasting run is waited for: the users miss
/// its task from the leave on.
void fleet_controller::review_leaves() {
  const lease_settings& leases = workers_.leases();
  const milliseconds wait = leases.answer_limit + leases.slack + loss_grace();
  workers_.marks().left.review([&](worker_view& it) {
    if (!it.left_at) return false;
    if (proposed_losses_.contains(it.id)) return true;
    std::vector<run_key> lasting;
    for (const run_key& run : book_.runs_on(it.id)) {
      if (is_long_running(run)) lasting.push_back(run);
    }
    if (!lasting.empty()) {
      propose_loss(it, lasting, loss_cause::left_serving);
      return true;
    }
    if (clock_.now() - std::max(*it.left_at, it.told) < wait) return true;
    const auto& alive = book_.runs_on(it.id);
    propose_loss(it, {alive.begin(), alive.end()}, loss_cause::left);
    return true;
  });
}

/// A run that must not start any more, and that its worker does not list long
/// after the last order for it, is over. The first heartbeats that a leader
/// gets may be from before it led: until the worker is known to get its
/// answers, how old they are is not known.
void fleet_controller::review_unstarted(worker_view& it) {
  if (!it.answered || proposed_losses_.contains(it.id)) return;
  const milliseconds sure =
      workers_.leases().answer_limit + detail::order_margin;
  const bool sends = accepts_starts(it) && !is_overcommitted(it);
  std::vector<run_key> over;
  for (const run_key& run : book_.runs_on(it.id)) {
    if (it.rows.contains(run) || lists_end(it, run)) continue;
    if (sends && !should_stop(run)) continue;
    const auto sent = it.sent.find(run);
    const time_point last = std::max(
        led_since_, sent == it.sent.end() ? time_point{} : sent->second);
    // What a heartbeat that was held up does not list may have begun since.
    if (it.heard - it.delay - last > sure) over.push_back(run);
  }
  if (!over.empty()) propose_loss(it, over, loss_cause::lease);
}

/// How far orders may lag behind the book: what waits for a worker that does
/// not call soon holds room elsewhere than where it could run. A start that
/// nobody was told of can't begin, and while it is being taken back nobody is.
void fleet_controller::review_unsent() {
  const time_point now = clock_.now();
  workers_.marks().unsent.review([&](worker_view& it) {
    if (it.unsent.empty()) return false;
    if (proposed_losses_.contains(it.id)) return true;
    const auto& runs = book_.runs_on(it.id);
    std::erase_if(it.unsent,
                  [&runs](const auto& p) { return !runs.contains(p.first); });
    std::vector<run_key> over;
    for (const auto& [run, ends] : it.unsent) {
      if (now >= ends) over.push_back(run);
    }
    if (over.empty()) return !it.unsent.empty();
    for (const run_key& run : over) it.unsent.erase(run);
    it.taken_back_at = now;
    record_taken_back(it, over);
    propose_loss(it, over, loss_cause::unsent);
    return !it.unsent.empty();
  });
}

/// A task that waits though it is placed again and again has no room that it
/// lacks: only this tells why.
void fleet_controller::record_taken_back(const worker_view& it,
                                         const std::vector<run_key>& runs) {
  metrics_.counter("kestrelreel_starts_taken_back_total") += runs.size();
  for (const run_key& run : runs) {
    const unsigned times = ++placed_in_vain_[run.task];
    log_event(detail::service_name, log_level::info, "placed-in-vain")
        .with("task", to_text(run.task))
        .with("run", run.run.value())
        .with("worker", it.id.str())
        .with("times", times)
        .with("lasting", is_long_running(run) ? "yes" : "no")
        .with("call-overdue-ms", (clock_.now() - it.call_due).count());
  }
}

void fleet_controller::review_all_unstarted() {
  const time_point now = clock_.now();
  const auto pause =
      detail::unstarted_review_per_worker * workers_.views().size();
  if (now - unstarted_reviewed_at_ < pause) return;
  unstarted_reviewed_at_ = now;
  std::erase_if(placed_in_vain_, [this](const auto& p) {
    return book_.find(p.first.job) == nullptr ||
           !book_.find(p.first.job)->live();
  });
  for (auto& [id, it] : workers_.views()) review_unstarted(it);
}

}  // namespace kestrelreel

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
constexpr milliseconds late_tick{400};
/// So many late heartbeats between two ticks, and more than one in so many,
/// show that heartbeats wait unread.
constexpr unsigned least_late_beats = 3;
constexpr unsigned late_share = 5;
/// Reading what waits takes less: a worker drops a call after a second.
constexpr milliseconds catch_up{1'000};
/// How much longer a leader that is behind waits for what it has not read yet,
/// before it gives up on anything. No more: a run whose lease is over is over
/// however late it reads, and one that lasts must run again within 9 s of its
/// end, of which the longest lease takes 7.2 and an order one.
constexpr milliseconds reading_patience{700};
/// A worker calls at least this often; one that was silent for longer, while
/// another life of its machine was heard, is over.
constexpr milliseconds dead_after{2'000};
/// Silent workers without runs are looked at this often.
constexpr milliseconds idle_review{1'000};
/// Silent workers without runs are forgotten after this.
constexpr milliseconds forget_worker_after{60'000};
/// A run ordered so long ago, and not there, never will be: covers the time
/// after which a worker drops an answer, and the way of its next heartbeat.
constexpr milliseconds order_margin{500};
/// Such runs are looked for with a pause of so much for each worker: a look at
/// a worker's runs takes 2 us.
constexpr std::chrono::microseconds unstarted_pause{400};
/// True when `o` shows that the life of `it`, at the same place, is over: a
/// heartbeat of an earlier life may arrive after the next one began, even
/// several after a cut, seconds apart. Only a worker that got answers lives,
/// and that has called for a while, by our clock and by its own, and since the
/// other fell silent.
bool outlives(const worker_view& o, const worker_view& it,
              milliseconds patience) {
  const milliseconds least = incarnation_proof_time + patience;
  const milliseconds own_clock(
      static_cast<int64_t>(o.beat.clock_ms() - o.first_clock_ms));
  return o.got_answer && o.id != it.id &&
         o.last_heartbeat_at > it.last_heartbeat_at &&
         o.first_heartbeat_at > it.first_heartbeat_at &&
         o.last_heartbeat_at -
                 std::max(o.first_heartbeat_at, it.last_heartbeat_at) >=
             least &&
         own_clock >= least;
}

/// The first of them that outlives `it`; null where none does.
const worker_view* find_survivor(const std::vector<worker_view*>& all,
                                 const worker_view& it, milliseconds patience) {
  const auto found =
      std::find_if(all.begin(), all.end(), [&](const worker_view* other) {
        return !other->loss_proposed && outlives(*other, it, patience);
      });
  return found == all.end() ? nullptr : *found;
}

const worker_view* find_replacement(const worker_table& workers,
                                    const worker_view& it,
                                    milliseconds patience) {
  const worker_view* found =
      find_survivor(workers.at_place(it.beat.machine()), it, patience);
  if (found != nullptr) return found;
  return find_survivor(workers.at_place(it.beat.address()), it, patience);
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
  it.loss_proposed = loss.over();
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
  if (crashed) add_findings(it, all, loss);
  add_command(std::move(command));
  losing_[it.id].insert(runs.begin(), runs.end());
  log_event line(detail::service_name, log_level::info, "runs-over");
  line.with("worker", it.id.str())
      .with("runs", runs.size())
      .with("cause", name_of(cause))
      .with("known", it.has_heartbeat ? "yes" : "no");
  if (it.has_heartbeat)
    line.with("silent-ms", (clock_.now() - it.last_heartbeat_at).count());
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
    if (it.starts_sent_at.contains(run) && !listed) out.push_back(run);
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
void fleet_controller::review_pace_of_reading() {
  const time_point now = clock_.now();
  const bool held_up = now - ticked_at_ > detail::late_tick;
  const bool reads_late = late_beats_ >= detail::least_late_beats &&
                          late_beats_ * detail::late_share > beats_;
  ticked_at_ = now;
  beats_ = late_beats_ = 0;
  if (!held_up && !reads_late) return;
  if (now >= behind_until_) {
    // Held up again and again, it would read on for ever.
    if (reviewed_) reads_on_until_ = now + detail::reading_patience;
    reviewed_ = false;
    log_event(detail::service_name, log_level::warn, "reads-late")
        .with("cause", held_up ? "held up" : "late heartbeats")
        .with("effect", "workers are given up on later");
  }
  behind_until_ = now + detail::catch_up;
}

bool fleet_controller::reads_on() const {
  return !reviewed_ && clock_.now() < reads_on_until_;
}

milliseconds fleet_controller::patience() const {
  return clock_.now() < behind_until_ ? detail::reading_patience
                                      : milliseconds(0);
}

/// What the belief rests on that a life is over.
void fleet_controller::note_survivor(const worker_view& it,
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

/// A worker lives once: what ran in a life that another one outlives is over,
/// and no lease is waited for, so that a serving task is away for 1 s after its
/// worker is back, not for 7. Births do not tell which life is over: they are
/// read from a clock that may be set back, and a held-up heartbeat would end a
/// life whose runs go on.
void fleet_controller::review_restarts() {
  for (const std::string& name : workers_.shared_names()) {
    const std::vector<worker_view*>& lives = workers_.incarnations_of(name);
    for (worker_view* it : lives) {
      if (losing_.contains(it->id)) continue;
      const worker_view* next = detail::find_survivor(lives, *it, patience());
      if (next == nullptr) continue;
      note_survivor(*it, *next);
      const auto& alive = book_.runs_on(it->id);
      propose_loss(*it, {alive.begin(), alive.end()}, loss_cause::restarted);
    }
  }
}

/// Gives up on what runs at workers whose lease is over, or whose machine has
/// begun another life.
void fleet_controller::review_silence() {
  const time_point now = clock_.now();
  worker_queue& watched = workers_.groups().watched;
  for (worker_view* due : watched.due_by(now)) {
    worker_view& it = *due;
    const auto& alive = book_.runs_on(it.id);
    const bool spoke = now - it.last_heartbeat_at < detail::dead_after;
    // Of one that runs nothing nothing is missed.
    const time_point soon = alive.empty() ? now + detail::idle_review : now;
    watched.set(it, spoke ? it.last_heartbeat_at + detail::dead_after : soon);
    if (spoke || it.leave_recorded_at || losing_.contains(it.id)) continue;
    const bool over = now >= it.lease_expires_at + patience();
    loss_cause cause = loss_cause::lease;
    if (now >= it.lease_expires_at + detail::forget_worker_after) {
      cause = loss_cause::silent;
    }
    // One that this leader never heard may be about to call.
    const bool silent =
        it.has_heartbeat || now - led_since_ >= detail::dead_after;
    if (silent) {
      const worker_view* next =
          detail::find_replacement(workers_, it, patience());
      if (next != nullptr) {
        note_survivor(it, *next);
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
  const milliseconds wait = leases.answer_limit + leases.slack + patience();
  workers_.groups().left.retain_if([&](worker_view& it) {
    if (!it.leave_recorded_at) return false;
    if (losing_.contains(it.id)) return true;
    std::vector<run_key> lasting;
    for (const run_key& run : book_.runs_on(it.id)) {
      if (is_lasting(run)) lasting.push_back(run);
    }
    if (!lasting.empty()) {
      propose_loss(it, lasting, loss_cause::left_serving);
      return true;
    }
    if (clock_.now() - std::max(*it.leave_recorded_at, it.last_heartbeat_at) <
        wait)
      return true;
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
  if (!it.got_answer || losing_.contains(it.id)) return;
  const milliseconds sure =
      workers_.leases().answer_limit + detail::order_margin;
  const bool sends = takes_starts(it) && !is_overfull(it);
  std::vector<run_key> over;
  for (const run_key& run : book_.runs_on(it.id)) {
    if (it.rows.contains(run) || lists_end(it, run)) continue;
    if (sends && !should_stop(run)) continue;
    const auto sent = it.starts_sent_at.find(run);
    const time_point last =
        std::max(led_since_,
                 sent == it.starts_sent_at.end() ? time_point{} : sent->second);
    // What a heartbeat that was held up does not list may have begun since.
    if (it.last_timely_heartbeat_at - it.delay - last > sure)
      over.push_back(run);
  }
  if (!over.empty()) propose_loss(it, over, loss_cause::lease);
}

/// How far orders may lag behind the book: what waits for a worker that does
/// not call soon holds room elsewhere than where it could run. A start that
/// nobody was told of can't begin, and while it is being taken back nobody is.
void fleet_controller::review_unsent() {
  const time_point now = clock_.now();
  workers_.groups().with_unsent_starts.retain_if([&](worker_view& it) {
    if (it.unsent_starts.empty()) return false;
    if (losing_.contains(it.id)) return true;
    const auto& runs = book_.runs_on(it.id);
    std::erase_if(it.unsent_starts,
                  [&runs](const auto& p) { return !runs.contains(p.first); });
    std::vector<run_key> over;
    for (const auto& [run, ends] : it.unsent_starts) {
      if (now >= ends) over.push_back(run);
    }
    if (over.empty()) return !it.unsent_starts.empty();
    for (const run_key& run : over) it.unsent_starts.erase(run);
    it.starts_recalled_at = now;
    note_taken_back(it, over);
    propose_loss(it, over, loss_cause::unsent);
    return !it.unsent_starts.empty();
  });
}

/// A task that waits though it is placed again and again has no room that it
/// lacks: only this tells why.
void fleet_controller::note_taken_back(const worker_view& it,
                                       const std::vector<run_key>& runs) {
  metrics_.counter("kestrelreel_starts_taken_back_total") += runs.size();
  for (const run_key& run : runs) {
    const unsigned times = ++in_vain_[run.task];
    log_event(detail::service_name, log_level::info, "placed-in-vain")
        .with("task", to_text(run.task))
        .with("run", run.run.value())
        .with("worker", it.id.str())
        .with("times", times)
        .with("lasting", is_lasting(run) ? "yes" : "no")
        .with("call-overdue-ms", (clock_.now() - it.call_due).count());
  }
}

void fleet_controller::review_all_unstarted() {
  const time_point now = clock_.now();
  const auto pause = detail::unstarted_pause * workers_.views().size();
  if (now - unstarted_reviewed_at_ < pause) return;
  unstarted_reviewed_at_ = now;
  std::erase_if(in_vain_, [this](const auto& p) {
    return book_.find(p.first.job) == nullptr ||
           !book_.find(p.first.job)->live();
  });
  for (auto& [id, it] : workers_.views()) review_unstarted(it);
}

}  // namespace kestrelreel

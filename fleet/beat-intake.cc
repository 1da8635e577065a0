#include "fleet/beat-intake.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "fleet/beat-order.h"
#include "fleet/intake-directory.h"
#include "fleet/worker-life.h"
#include "kernel/log.h"

namespace kestrelreel {
namespace detail {

/// A worker that has called another box for this time is forgotten.
constexpr milliseconds forget_worker_after{10'000};

fleet::fleet_response plain_response(fleet::fleet_status status,
                                     const char* reason) {
  fleet::fleet_response response;
  response.set_status(status);
  response.set_reason(reason);
  return response;
}

/// The window shrinks to this share of the forwarded calls, at most once per
/// interval, and grows by one call with each timely answer.
constexpr size_t shrink_percent = 75;
constexpr size_t percent = 100;
constexpr milliseconds shrink_interval{300};
/// Weight of a new round-trip sample in the moving average: 1 in 8.
constexpr int rtt_weight = 8;

run_key key_of(const fleet::running_row& row) {
  return {to_key(row.task()), run_number(row.run())};
}

}  // namespace detail

void heartbeat_intake::take(fleet::worker_beat beat, respond_function respond) {
  const auto [found, fresh] = workers_.try_emplace(incarnation_of(beat).str());
  worker_state& it = found->second;
  const heartbeat_order order =
      fresh ? heartbeat_order::later
            : compare_heartbeats(it.beat, it.called_at, beat, clock_.now());
  // An inconsistent call would make the leader apply a difference to a state
  // that the worker never reported, and would end the worker's pending call.
  if (order == heartbeat_order::inconsistent) return refuse(beat, respond);
  if (order == heartbeat_order::overtaken) {
    return respond(detail::plain_response(fleet::fleet_ok, "overtaken"));
  }
  if (it.respond) {
    std::exchange(it.respond, nullptr)(
        detail::plain_response(fleet::fleet_ok, "overtaken"));
  }
  // The worker has called another box since: the leader may build on that call.
  if (beat.sequence() != it.beat.sequence() + 1) it.known_to.clear();
  it.beat = std::move(beat);
  it.respond = std::move(respond);
  it.called_at = clock_.now();
  set_state(it, call_state::waiting);
}

void heartbeat_intake::set_state(worker_state& it, call_state state) {
  const call_state before = std::exchange(it.state, state);
  if (before == call_state::waiting) {
    --waiting_;
    if (std::exchange(it.overdue, false)) --overdue_;
  }
  if (before == call_state::forwarded) --forwarded_;
  if (state == call_state::waiting) {
    ++waiting_;
    if (it.waiting_since == time_point{}) it.waiting_since = it.called_at;
    it.overdue = !leader_overloaded_ && !is_out_of_reach() &&
                 clock_.now() - it.waiting_since >= settings_.max_unforwarded;
    if (it.overdue) ++overdue_;
  }
  if (state != call_state::forwarded) return;
  ++forwarded_;
  if (!std::exchange(unanswered_, true)) unanswered_since_ = clock_.now();
}

void heartbeat_intake::refuse(const fleet::worker_beat& beat,
                              const respond_function& respond) {
  constexpr const char* cause = "misfit";
  ++metrics_.counter("kestrelreel_heartbeats_unusable_total",
                     {{"cause", cause}});
  log_event("intake", log_level::warn, "heartbeat-unusable")
      .with("worker", incarnation_of(beat).str())
      .with("address", beat.address())
      .with("pool", beat.pool())
      .with("sequence", beat.sequence())
      .with("clock-ms", beat.clock_ms())
      .with("cause", cause);
  respond(detail::plain_response(fleet::fleet_invalid,
                                 "heartbeat of another writer"));
}

fleet::beat_batch heartbeat_intake::collect(const std::string& leader) {
  fleet::beat_batch batch;
  add_waiting_ends(leader, batch);
  if (waiting_ == 0) return batch;
  for (worker_state* it : next_to_forward()) {
    *batch.add_beats() =
        knows_worker(*it, leader) ? make_difference(*it) : make_whole(*it);
    it->known_to = leader;
    it->forwarded_sequence = it->beat.sequence();
    it->forwarded_at = clock_.now();
    it->waiting_since = {};
    set_state(*it, call_state::forwarded);
  }
  return batch;
}

/// True when the last call lists ends that the leader was not sent of late.
bool heartbeat_intake::lists_unsent_ends(const worker_state& it,
                                         const std::string& leader) const {
  const auto& ends = it.beat.ended();
  if (ends.empty()) return false;
  return it.ends_sent_to != leader ||
         ends.rbegin()->number() > it.last_end_sent ||
         clock_.now() - it.ends_sent_at >= settings_.resend_ends_after;
}

void heartbeat_intake::add_waiting_ends(const std::string& leader,
                                        fleet::beat_batch& batch) {
  for (const std::string& id : std::exchange(waiting_with_ends_, {})) {
    const auto found = workers_.find(id);
    if (found == workers_.end()) continue;
    worker_state& it = found->second;
    if (!lists_unsent_ends(it, leader)) continue;
    fleet::worker_beat& out = *batch.add_waiting();
    out.set_worker(it.beat.worker());
    out.set_born(it.beat.born());
    out.set_pool(it.beat.pool());
    out.set_address(it.beat.address());
    out.set_sequence(it.beat.sequence());
    out.set_clock_ms(it.beat.clock_ms());
    *out.mutable_ended() = it.beat.ended();
    it.ends_sent_to = leader;
    it.last_end_sent = it.beat.ended().rbegin()->number();
    it.ends_sent_at = clock_.now();
    ++metrics_.counter("kestrelreel_heartbeat_ends_sent_ahead_total");
  }
}

/// Selects the workers whose call is forwarded now.
std::vector<heartbeat_intake::worker_state*>
heartbeat_intake::next_to_forward() {
  std::vector<worker_state*> next;
  for (auto& [id, it] : workers_) {
    if (it.state == call_state::waiting) next.push_back(&it);
  }
  const size_t space =
      std::max(window_ - std::min(window_, forwarded_), overdue_);
  if (next.size() <= space) return next;
  std::erase_if(next, [&](const auto* it) { return may_put_off(*it); });
  if (next.size() <= space) return next;
  const auto rank = [](const worker_state* it) {
    return std::make_tuple(!it->overdue, !it->beat.draining(),
                           it->waiting_since);
  };
  std::stable_sort(next.begin(), next.end(), [&](const auto* a, const auto* b) {
    return rank(a) < rank(b);
  });
  next.resize(space);
  return next;
}

/// True for a call that has waited too long here for the leader's answer to
/// arrive in time.
bool heartbeat_intake::may_put_off(const worker_state& it) const {
  const time_point now = clock_.now();
  return !it.beat.draining() && !it.overdue &&
         now - it.called_at >= settings_.put_off_after;
}

/// Adapts the window to the time that the leader took to answer.
void heartbeat_intake::record_answer_time(const worker_state& it) {
  if (clock_.now() - it.forwarded_at > settings_.slow_answer_threshold) {
    ++slow_answers_;
    return shrink_window();
  }
  ++timely_answers_;
  window_ = std::min(window_ + 1, settings_.max_window);
}

void heartbeat_intake::shrink_window() {
  const time_point now = clock_.now();
  if (now - shrunk_at_ < detail::shrink_interval) return;
  shrunk_at_ = now;
  // Calls that list ends wait for the log, which may be slow even when the
  // leader is not: only a majority of slow answers shrinks the window.
  const bool most_are_slow = slow_answers_ > timely_answers_;
  slow_answers_ = timely_answers_ = 0;
  if (!most_are_slow) return;
  window_ = std::max(settings_.min_window, std::min(window_, forwarded_ + 1) *
                                               detail::shrink_percent /
                                               detail::percent);
  log_event("intake", log_level::info, "calls-held-back")
      .with("cause", is_out_of_reach() ? "round trips to the leader are slow"
                                       : "the leader answers late")
      .with("at-once", window_)
      .with("waiting", waiting_)
      .with("longest-put-off-ms", longest_put_off_.count());
  longest_put_off_ = {};
}

/// Updates the round-trip time. Answers too late for their workers count too.
void heartbeat_intake::record_rtt(const worker_state& it,
                                  const fleet::beat_answer& answer) {
  const time_point now = clock_.now();
  unanswered_ = forwarded_ > 0;
  unanswered_since_ = now;
  if (!answer.has_leader_ms()) return;
  if (answer.sequence() != it.forwarded_sequence) return;
  const milliseconds at_leader(static_cast<int64_t>(answer.leader_ms()));
  const milliseconds sample = now - it.forwarded_at - at_leader;
  rtt_ = leader_rtt()
             ? (rtt_ * (detail::rtt_weight - 1) + sample) / detail::rtt_weight
             : sample;
  rtt_updated_at_ = now;
}

std::optional<milliseconds> heartbeat_intake::leader_rtt() const {
  const bool known = rtt_updated_at_ != time_point{} &&
                     clock_.now() - rtt_updated_at_ < settings_.rtt_valid_for;
  return known ? std::optional(rtt_) : std::nullopt;
}

/// True when another box reaches the leader faster.
bool heartbeat_intake::is_out_of_reach() const {
  const bool unanswered = unanswered_ && clock_.now() - unanswered_since_ >=
                                             settings_.unreachable_after;
  return unanswered || is_slow_rtt(leader_rtt(), best_peer_rtt_);
}

/// The window has no space for the call: asks the worker to retry. Fails the
/// call if the leader is out of reach, as the worker then turns to another box;
/// asked to retry, it would stay with this box.
void heartbeat_intake::put_off(worker_state& it) {
  longest_put_off_ =
      std::max(longest_put_off_, clock_.now() - it.waiting_since);
  if (is_out_of_reach()) return fail(it, "the leader is out of reach");
  ++metrics_.counter("kestrelreel_heartbeats_put_off_total");
  fleet::fleet_response response =
      detail::plain_response(fleet::fleet_ok, "come again");
  response.mutable_orders()->set_next_beat_ms(
      static_cast<uint64_t>(settings_.retry_delay.count()));
  set_state(it, call_state::none);
  std::exchange(it.respond, nullptr)(std::move(response));
}

/// Answers the call with an error, so that the worker turns to another box.
void heartbeat_intake::fail(worker_state& it, const char* reason) {
  set_state(it, call_state::none);
  std::exchange(it.respond, nullptr)(
      detail::plain_response(fleet::fleet_unavailable, reason));
}

/// True when the leader needs only the difference. Differences carry no
/// capacity, so a changed one requires a whole heartbeat.
bool heartbeat_intake::knows_worker(const worker_state& it,
                                    const std::string& leader) {
  return it.known_to == leader && it.forwarded_capacity == capacity_of(it.beat);
}

fleet::worker_beat heartbeat_intake::make_whole(worker_state& it) {
  it.forwarded_capacity = capacity_of(it.beat);
  it.forwarded_rows.clear();
  for (const fleet::running_row& row : it.beat.running()) {
    it.forwarded_rows[detail::key_of(row)] = row;
  }
  it.readings_forwarded_at = it.checkpoints_forwarded_at = it.called_at;
  return it.beat;
}

fleet::worker_beat heartbeat_intake::make_difference(worker_state& it) const {
  fleet::worker_beat out;
  out.set_worker(it.beat.worker());
  out.set_born(it.beat.born());
  out.set_base(it.forwarded_sequence);
  out.set_sequence(it.beat.sequence());
  out.set_clock_ms(it.beat.clock_ms());
  out.set_draining(it.beat.draining());
  out.set_remaining_ms(it.beat.remaining_ms());
  out.set_cold_left_ms(it.beat.cold_left_ms());
  *out.mutable_ended() = it.beat.ended();
  const bool send_checkpoints = it.called_at - it.checkpoints_forwarded_at >=
                                settings_.checkpoint_interval;
  if (send_checkpoints) it.checkpoints_forwarded_at = it.called_at;
  row_map current_rows;
  for (const fleet::running_row& row : it.beat.running()) {
    const run_key key = detail::key_of(row);
    const auto before = it.forwarded_rows.find(key);
    const bool is_new = before == it.forwarded_rows.end();
    const bool checkpoint_changed =
        !is_new && before->second.saved() != row.saved();
    fleet::running_row& kept = current_rows[key] = row;
    if (is_new || (checkpoint_changed && send_checkpoints)) {
      *out.add_running() = row;
    } else {
      kept.set_saved(before->second.saved());
    }
  }
  for (const auto& [key, row] : it.forwarded_rows) {
    if (current_rows.contains(key)) continue;
    fleet::run_name& gone = *out.add_gone();
    *gone.mutable_task() = row.task();
    gone.set_run(row.run());
  }
  it.forwarded_rows = std::move(current_rows);
  if (it.called_at - it.readings_forwarded_at < settings_.readings_interval)
    return out;
  it.readings_forwarded_at = it.called_at;
  for (const auto& [key, row] : it.forwarded_rows) {
    out.add_readings(static_cast<float>(row.reading()));
    out.add_percents(row.percent());
  }
  return out;
}

void heartbeat_intake::handle_answers(const fleet::beat_answers& answers) {
  for (const fleet::beat_answer& answer : answers.answers()) {
    const auto found = workers_.find(answer.worker());
    if (found == workers_.end()) continue;
    worker_state& it = found->second;
    record_rtt(it, answer);
    if (!answer.held()) leader_overloaded_ = answer.overloaded();
    const bool wants_whole = answer.response().wants_whole();
    // The call may be over by now; the next one must not build on it.
    if (wants_whole && it.forwarded_sequence == answer.sequence())
      it.known_to.clear();
    if (!it.respond || it.beat.sequence() != answer.sequence()) continue;
    if (wants_whole) {
      set_state(it, call_state::waiting);
      continue;
    }
    // The answer of a held call is late by design.
    if (it.state == call_state::forwarded) record_answer_time(it);
    set_state(it, answer.held() ? call_state::held : call_state::none);
    if (answer.held()) continue;
    std::exchange(it.respond, nullptr)(answer.response());
  }
}

void heartbeat_intake::leader_changed() {
  // No call waited for this leader yet: the window applies to all of them.
  for (auto& [id, it] : workers_) {
    it.waiting_since = it.respond ? clock_.now() : time_point{};
    if (it.respond) set_state(it, call_state::waiting);
  }
  window_ = settings_.initial_window;
  leader_overloaded_ = false;
  unanswered_ = false;
  rtt_updated_at_ = {};
}

void heartbeat_intake::expire() {
  const time_point now = clock_.now();
  for (auto& [id, it] : workers_) {
    if (!it.respond) continue;
    const milliseconds age = now - it.called_at;
    if (it.state == call_state::waiting) {
      // Younger calls may take the space that an answer frees.
      const bool waits = window_full() || may_put_off(it);
      if (waits && !it.beat.ended().empty()) waiting_with_ends_.insert(id);
      if (window_full() && may_put_off(it)) put_off(it);
    }
    if (!it.respond || age < settings_.answer_timeout) continue;
    if (it.state == call_state::forwarded) {
      ++slow_answers_;
      shrink_window();
    }
    fail(it, "no answer of a leader");
  }
  std::erase_if(workers_, [&](const auto& p) {
    return !p.second.respond &&
           now - p.second.called_at >= detail::forget_worker_after;
  });
}

size_t heartbeat_intake::waiting() const {
  size_t n = 0;
  for (const auto& [id, it] : workers_) n += it.respond ? 1 : 0;
  return n;
}

}  // namespace kestrelreel

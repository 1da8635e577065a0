#include "fleet/beat-intake.h"

#include <algorithm>
#include <utility>

#include "fleet/beat-order.h"
#include "fleet/intake-directory.h"
#include "fleet/worker-life.h"
#include "kernel/log.h"

namespace kestrelreel {
namespace detail {

/// A worker that calls elsewhere for so long is forgotten.
constexpr milliseconds forget_caller_after{10'000};

fleet::fleet_response plain_response(fleet::fleet_status status,
                                     const char* reason) {
  fleet::fleet_response response;
  response.set_status(status);
  response.set_reason(reason);
  return response;
}

/// The window falls to so much of what is out, no sooner than that again; it
/// grows by one call with each answer in time.
constexpr size_t narrow_percent = 75;
constexpr size_t percent = 100;
constexpr milliseconds narrow_again_after{300};
/// Of what is seen of the way, the last one counts for one in so many.
constexpr int way_weight = 8;

run_key key_of(const fleet::running_row& row) {
  return {to_key(row.task()), run_number(row.run())};
}

}  // namespace detail

void beat_intake::take(fleet::worker_beat beat, respond_function respond) {
  const auto [found, fresh] = callers_.try_emplace(life_of(beat).str());
  caller& it = found->second;
  const beat_order order =
      fresh ? beat_order::later
            : order_of(it.beat, it.called, beat, clock_.now());
  // The leader would be told the difference to what the worker never said, and
  // the call that waits would end for it.
  if (order == beat_order::misfit) return refuse(beat, respond);
  if (order == beat_order::overtaken) {
    return respond(detail::plain_response(fleet::fleet_ok, "overtaken"));
  }
  if (it.respond) {
    std::exchange(it.respond, nullptr)(
        detail::plain_response(fleet::fleet_ok, "overtaken"));
  }
  it.beat = std::move(beat);
  it.respond = std::move(respond);
  it.called = clock_.now();
  if (it.waits_since == time_point{}) it.waits_since = it.called;
  set_state(it, call_state::waits);
}

void beat_intake::set_state(caller& it, call_state state) {
  const call_state before = std::exchange(it.state, state);
  if (before == call_state::waits) --news_;
  if (before == call_state::out) --out_;
  if (state == call_state::waits) ++news_;
  if (state != call_state::out) return;
  ++out_;
  if (!std::exchange(unanswered_, true)) unanswered_since_ = clock_.now();
}

void beat_intake::refuse(const fleet::worker_beat& beat,
                         const respond_function& respond) {
  constexpr const char* cause = "misfit";
  ++metrics_.counter("kestrelreel_heartbeats_unusable_total",
                     {{"cause", cause}});
  log_event("intake", log_level::warn, "heartbeat-unusable")
      .with("worker", life_of(beat).str())
      .with("address", beat.address())
      .with("pool", beat.pool())
      .with("sequence", beat.sequence())
      .with("clock-ms", beat.clock_ms())
      .with("cause", cause);
  respond(detail::plain_response(fleet::fleet_invalid,
                                 "heartbeat of another writer"));
}

fleet::beat_batch beat_intake::collect(const std::string& leader) {
  fleet::beat_batch batch;
  if (news_ == 0) return batch;
  for (caller* it : next_callers()) {
    *batch.add_beats() =
        is_told(*it, leader) ? make_difference(*it) : make_whole(*it);
    it->told_to = leader;
    it->told_sequence = it->beat.sequence();
    it->passed_at = clock_.now();
    it->waits_since = {};
    set_state(*it, call_state::out);
  }
  return batch;
}

/// Those whose call is passed on now.
std::vector<beat_intake::caller*> beat_intake::next_callers() {
  std::vector<caller*> next;
  for (auto& [id, it] : callers_) {
    if (it.state == call_state::waits) next.push_back(&it);
  }
  const size_t room = window_ - std::min(window_, out_);
  if (next.size() <= room) return next;
  std::erase_if(next, [&](const auto* it) {
    return !it->beat.draining() &&
           clock_.now() - it->called >= settings_.come_again_after;
  });
  if (next.size() <= room) return next;
  std::stable_sort(next.begin(), next.end(), [](const auto* a, const auto* b) {
    return std::make_pair(!a->beat.draining(), a->waits_since) <
           std::make_pair(!b->beat.draining(), b->waits_since);
  });
  next.resize(room);
  return next;
}

/// The leader answered: soon enough, or later than it should.
void beat_intake::note_answer(const caller& it) {
  if (clock_.now() - it.passed_at > settings_.answer_slow) {
    ++slow_;
    return narrow();
  }
  ++quick_;
  window_ = std::min(window_ + 1, settings_.most_window);
}

void beat_intake::narrow() {
  const time_point now = clock_.now();
  if (now - narrowed_at_ < detail::narrow_again_after) return;
  narrowed_at_ = now;
  // Calls with ends wait for the log, which may be slow where the leader isn't.
  const bool most_are_slow = slow_ > quick_;
  slow_ = quick_ = 0;
  if (!most_are_slow) return;
  window_ = std::max(
      settings_.least_window,
      std::min(window_, out_ + 1) * detail::narrow_percent / detail::percent);
  log_event("intake", log_level::info, "calls-held-back")
      .with("cause", is_out_of_reach() ? "answers are long on their way"
                                       : "the leader answers late")
      .with("at-once", window_)
      .with("waiting", news_)
      .with("longest-put-off-ms", longest_put_off_.count());
  longest_put_off_ = {};
}

/// Answers that come too late for their callers tell of the way, too.
void beat_intake::note_way(const caller& it, const fleet::beat_answer& answer) {
  const time_point now = clock_.now();
  unanswered_ = out_ > 0;
  unanswered_since_ = now;
  if (!answer.has_leader_ms()) return;
  if (answer.sequence() != it.told_sequence) return;
  const milliseconds at_leader(static_cast<int64_t>(answer.leader_ms()));
  const milliseconds seen = now - it.passed_at - at_leader;
  way_ = way() ? (way_ * (detail::way_weight - 1) + seen) / detail::way_weight
               : seen;
  way_seen_ = now;
}

std::optional<milliseconds> beat_intake::way() const {
  const bool known = way_seen_ != time_point{} &&
                     clock_.now() - way_seen_ < settings_.way_known_for;
  return known ? std::optional(way_) : std::nullopt;
}

/// True where another box reaches the leader better.
bool beat_intake::is_out_of_reach() const {
  const bool silent =
      unanswered_ && clock_.now() - unanswered_since_ >= settings_.unanswered;
  return silent || is_slow_way(way(), elsewhere_);
}

/// There is no room for the call now. Its worker comes again, or turns to
/// another box where this one is no help: told to come again, it would stay.
void beat_intake::put_off(caller& it) {
  longest_put_off_ = std::max(longest_put_off_, clock_.now() - it.waits_since);
  if (is_out_of_reach()) return give_up(it, "the leader is out of reach");
  ++metrics_.counter("kestrelreel_heartbeats_put_off_total");
  fleet::fleet_response response =
      detail::plain_response(fleet::fleet_ok, "come again");
  response.mutable_orders()->set_next_beat_ms(
      static_cast<uint64_t>(settings_.come_again_in.count()));
  set_state(it, call_state::none);
  std::exchange(it.respond, nullptr)(std::move(response));
}

/// The worker turns to another box.
void beat_intake::give_up(caller& it, const char* reason) {
  set_state(it, call_state::none);
  std::exchange(it.respond, nullptr)(
      detail::plain_response(fleet::fleet_unavailable, reason));
}

/// True where the leader needs only the difference, which tells no room.
bool beat_intake::is_told(const caller& it, const std::string& leader) {
  return it.told_to == leader && it.told_room == room_of(it.beat);
}

fleet::worker_beat beat_intake::make_whole(caller& it) {
  it.told_room = room_of(it.beat);
  it.told.clear();
  for (const fleet::running_row& row : it.beat.running()) {
    it.told[detail::key_of(row)] = row;
  }
  it.readings_told = it.checkpoints_told = it.called;
  return it.beat;
}

fleet::worker_beat beat_intake::make_difference(caller& it) const {
  fleet::worker_beat out;
  out.set_worker(it.beat.worker());
  out.set_born(it.beat.born());
  out.set_base(it.told_sequence);
  out.set_sequence(it.beat.sequence());
  out.set_clock_ms(it.beat.clock_ms());
  out.set_draining(it.beat.draining());
  out.set_remaining_ms(it.beat.remaining_ms());
  out.set_cold_left_ms(it.beat.cold_left_ms());
  *out.mutable_ended() = it.beat.ended();
  const bool checkpoints =
      it.called - it.checkpoints_told >= settings_.checkpoints_every;
  if (checkpoints) it.checkpoints_told = it.called;
  row_map now;
  for (const fleet::running_row& row : it.beat.running()) {
    const run_key key = detail::key_of(row);
    const auto before = it.told.find(key);
    const bool fresh = before == it.told.end();
    const bool saved = !fresh && before->second.saved() != row.saved();
    fleet::running_row& kept = now[key] = row;
    if (fresh || (saved && checkpoints)) {
      *out.add_running() = row;
    } else {
      kept.set_saved(before->second.saved());
    }
  }
  for (const auto& [key, row] : it.told) {
    if (now.contains(key)) continue;
    fleet::run_name& gone = *out.add_gone();
    *gone.mutable_task() = row.task();
    gone.set_run(row.run());
  }
  it.told = std::move(now);
  if (it.called - it.readings_told < settings_.readings_every) return out;
  it.readings_told = it.called;
  for (const auto& [key, row] : it.told) {
    out.add_readings(static_cast<float>(row.reading()));
    out.add_percents(row.percent());
  }
  return out;
}

void beat_intake::answered(const fleet::beat_answers& answers) {
  for (const fleet::beat_answer& answer : answers.answers()) {
    const auto found = callers_.find(answer.worker());
    if (found == callers_.end()) continue;
    caller& it = found->second;
    note_way(it, answer);
    if (!it.respond || it.beat.sequence() != answer.sequence()) continue;
    if (answer.response().wants_whole()) {
      it.told_to.clear();
      set_state(it, call_state::waits);
      continue;
    }
    // A held call's answer comes late on purpose.
    if (it.state == call_state::out) note_answer(it);
    set_state(it, answer.held() ? call_state::held : call_state::none);
    if (answer.held()) continue;
    std::exchange(it.respond, nullptr)(answer.response());
  }
}

void beat_intake::leader_changed() {
  for (auto& [id, it] : callers_) {
    if (it.respond) set_state(it, call_state::waits);
  }
  window_ = settings_.first_window;
  unanswered_ = false;
  way_seen_ = {};
}

void beat_intake::expire() {
  const time_point now = clock_.now();
  for (auto& [id, it] : callers_) {
    if (!it.respond) continue;
    const milliseconds age = now - it.called;
    const bool held_back =
        it.state == call_state::waits && !it.beat.draining() && window_full();
    if (held_back && age >= settings_.come_again_after) put_off(it);
    if (!it.respond || age < settings_.answer_within) continue;
    if (it.state == call_state::out) {
      ++slow_;
      narrow();
    }
    give_up(it, "no answer of a leader");
  }
  std::erase_if(callers_, [&](const auto& p) {
    return !p.second.respond &&
           now - p.second.called >= detail::forget_caller_after;
  });
}

size_t beat_intake::waiting() const {
  size_t n = 0;
  for (const auto& [id, it] : callers_) n += it.respond ? 1 : 0;
  return n;
}

}  // namespace kestrelreel

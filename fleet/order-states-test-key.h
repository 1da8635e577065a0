// A state of `order_world` as text, with times relative to the present.
#pragma once

#include <string>

#include "fleet/order-states-test-world.h"

namespace kestrelreel::order_states {

/// Appends values, each followed by a separator.
class state_text {
 public:
  explicit state_text(time_point now) : now_(now) {}

  template <typename... Values>
  void add(const Values&... values) {
    (append(values), ...);
  }
  /// Distant times don't differ in effect.
  void add_time(time_point t) {
    constexpr milliseconds far{10'000};
    append(std::clamp(t - now_, -far, far).count());
  }
  void add_runs(const auto& runs) {
    for (const run_key& it : runs) append(it.run.value());
    out_ += ';';
  }
  void add_times_of(const auto& runs) {
    for (const auto& [run, t] : runs) {
      append(run.run.value());
      add_time(t);
    }
    out_ += ';';
  }
  /// The sequence and the clock are relative to those of `sender`.
  void add_beat(fleet::worker_beat beat, const slow::simulated_worker* sender) {
    if (sender != nullptr) {
      beat.set_sequence(sender->sequence - beat.sequence());
      beat.set_clock_ms(slow::make_beat(*sender, now_).clock_ms() -
                        beat.clock_ms());
    }
    append(beat.SerializeAsString());
  }
  const std::string& text() const { return out_; }

 private:
  void append(const std::string& value) { (out_ += value) += ','; }
  void append(int64_t value) { append(std::to_string(value)); }
  void append(uint64_t value) { append(std::to_string(value)); }
  void append(unsigned value) { append(std::to_string(value)); }
  void append(bool value) { out_ += value ? '1' : '0'; }

  time_point now_;
  std::string out_;
};

inline const slow::simulated_worker* order_world::find_life(
    const std::string& id) const {
  for (const slow::simulated_worker& it : workers_) {
    if (it.id == id) return &it;
  }
  return nullptr;
}

inline void order_world::add_workers(state_text& out) const {
  for (size_t i = 0; i < workers; ++i) {
    const slow::simulated_worker& it = workers_[i];
    out.add(it.id, left_[i], it.pending != 0, it.end_number, it.fence);
    if (it.pending != 0) out.add_time(it.sent);
    out.add_time(it.lease);
    out.add_times_of(it.runs);
    for (const fleet::run_end& end : it.ended) out.add(end.SerializeAsString());
    for (const auto& [task, run] : it.highest) out.add(run.value());
  }
  for (const past_life& it : past_) {
    out.add(it.id);
    out.add_time(it.lease);
  }
  for (const done_end& it : done_) {
    out.add(it.life, it.number, it.acknowledged, it.lapsed, it.started_after);
  }
}

inline void order_world::add_view(state_text& out,
                                  const worker_view& it) const {
  out.add(it.id.str(), it.has_heartbeat, it.is_leaving, it.loss_proposed,
          it.superseded, it.respond != nullptr, it.awaits_start, it.got_answer,
          it.last_end_proposed, it.last_end_acknowledged, it.refusals,
          it.predecessor.has_value(), it.trial_step.has_value(), it.vacated,
          it.recovery.has_value(), it.avoided_times);
  out.add_beat(it.beat, find_life(it.id.str()));
  for (const time_point t :
       {it.last_timely_heartbeat_at, it.first_heartbeat_at,
        it.last_heartbeat_at, it.lease_expires_at, it.starts_recalled_at,
        it.avoided_until, it.retry_from, it.call_due,
        it.leave_recorded_at.value_or(time_point{}),
        it.respond ? it.call_received_at : time_point{}})
    out.add_time(t);
  for (const auto& [run, row] : it.rows) out.add(run.run.value());
  out.add_runs(it.listed_ends);
  out.add_runs(it.unlisted_ends);
  out.add_runs(it.lapsed);
  out.add_times_of(it.starts_sent_at);
  for (const auto& [run, offer] : it.start_offers) {
    out.add(run.run.value(), offer.placed_here,
            it.beat.clock_ms() - offer.call_clock_ms);
    out.add_time(offer.first_sent_at);
  }
  out.add(it.beat.clock_ms() - it.listed_clock_ms);
  out.add_times_of(it.unsent_starts);
  for (const auto& [run, step] : it.proposed_starts) out.add(run.run.value());
}

inline std::string order_world::canonical() const {
  state_text out(clock_.now());
  out.add(uint64_t{leader_}, term_);
  out.add_time(led_since_);
  add_workers(out);
  out.add(leader().book().save());
  for (const auto& [id, it] : leader().workers().views()) add_view(out, it);
  for (fleet::fleet_command command : log_) {
    for (auto& it : *command.mutable_batch()->mutable_commands())
      it.clear_token();
    out.add(command.SerializeAsString());
  }
  for (const message& it : transit_) {
    out.add(it.life, it.ends_only);
    out.add_beat(it.beat, find_life(it.life));
  }
  for (const slow::answer& it : answers_)
    out.add(it.worker, it.orders.SerializeAsString());
  return out.text();
}

}  // namespace kestrelreel::order_states

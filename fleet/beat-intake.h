// Receives heartbeats on a control box while another box is the leader.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "fleet/task-key.h"
#include "fleet/worker-load.h"
#include "kernel/metrics.h"
#include "proto/fleet.pb.h"

namespace kestrelreel {

/// Limits and intervals of the intake.
struct intake_settings {
  /// Interval at which a worker's readings are forwarded; each reading is an
  /// average over half a second.
  milliseconds readings_interval{400};
  /// Interval at which a worker's checkpoints are forwarded: the maximum work
  /// that a lost worker loses beyond the users' checkpoint interval of 1 s.
  milliseconds checkpoint_interval{2'000};
  /// Calls that the leader has not answered fail after this time: a worker
  /// turns to another box after a second.
  milliseconds answer_timeout{900};
  /// Bounds of the window of calls forwarded to the leader and not answered.
  /// The minimum answers each of 220 workers within 3 s, half of a lease, with
  /// a leader that takes half a second per answer.
  size_t initial_window = 256;
  size_t min_window = 40;
  size_t max_window = 1'024;
  /// The leader counts as overloaded while most of its answers take longer than
  /// this. A worker drops answers after 1 s: a call may have waited 100 ms on
  /// this box, and a smaller window takes effect only after another answer
  /// time, about 450 ms.
  milliseconds slow_answer_threshold{450};
  /// A call that can't be forwarded within this time is answered with a request
  /// to retry: the rest of the worker's 1 s is too short for the leader's
  /// answer.
  milliseconds put_off_after{100};
  /// Unless the leader is overloaded or out of reach, a call is forwarded
  /// whatever the window if none of its worker was forwarded for this time.
  /// Otherwise a worker whose calls happen to come while the window is full is
  /// never heard. Together with the slowest answer and two intervals of calls
  /// this is a third of a lease.
  milliseconds max_unforwarded{700};
  /// Ends in calls that wait are sent to the leader again after this time, as
  /// the message may be lost.
  milliseconds resend_ends_after{1'000};
  /// Delay after which the worker should retry.
  milliseconds retry_delay{200};
  /// Without any answer for this time, the leader is out of reach of this box,
  /// and another box may reach it.
  milliseconds unreachable_after{1'000};
  /// Age after which the measured round-trip time is ignored.
  milliseconds rtt_valid_for{2'000};
};

/// Receives heartbeats for the leader and forwards only what changed. The
/// intake grants and orders nothing: each answer comes from the leader and
/// answers exactly the call that the leader read, so that a slow, frozen or
/// disconnected box can only cause delay. Does no I/O: messages and time are
/// passed in and out. Not thread-safe.
class heartbeat_intake {
 public:
  using respond_function = std::function<void(fleet::fleet_response)>;

  heartbeat_intake(intake_settings settings, clock_source& clock,
                   metrics_registry& metrics)
      : settings_(settings), clock_(clock), metrics_(metrics) {}

  /// Accepts a worker's call, which is answered once, by the leader or by
  /// `expire`. A call that is inconsistent with the previous one is refused,
  /// logged and counted in the same metric as on the leader.
  void take(fleet::worker_beat beat, respond_function respond);
  /// True when calls wait to be forwarded and the window has space or does not
  /// apply to them, or when the leader is to be told of ends.
  bool has_pending_calls() const {
    return overdue_ > 0 || (waiting_ > 0 && forwarded_ < window_) ||
           !waiting_with_ends_.empty();
  }
  /// Returns the calls to forward to `leader`. A leader that does not know a
  /// worker gets the whole heartbeat, else the difference. The batch holds no
  /// more calls than the leader can answer in time: otherwise all calls queue
  /// at the leader, every answer is late and leases expire. Draining workers
  /// come first, then those that have waited longest, so that each has a turn.
  /// The ends in calls that wait for space in the window are sent along: a
  /// worker that is put off until its lease expires must not lose results that
  /// it listed.
  fleet::beat_batch collect(const std::string& leader);
  /// Forwards the leader's answers; answers to earlier calls are dropped.
  void handle_answers(const fleet::beat_answers& answers);
  /// Forwards pending calls again: the previous leader may never answer.
  void leader_changed();
  /// Fails calls that waited too long, and forgets workers that call another
  /// box. Call about every 100 ms.
  void expire();
  /// Number of calls that wait for an answer.
  size_t waiting() const;
  /// Recent round-trip time to the leader, without the time that the leader
  /// held the call; none without recent answers.
  std::optional<milliseconds> leader_rtt() const;
  /// Sets the lowest round-trip time to the leader that another box reports.
  void set_best_peer_rtt(std::optional<milliseconds> rtt) {
    best_peer_rtt_ = rtt;
  }

 private:
  using row_map = std::map<run_key, fleet::running_row>;
  /// State of a worker's call: none pending, waiting on this box, forwarded to
  /// the leader, or held by the leader until a task may become ready.
  enum class call_state { none, waiting, forwarded, held };
  /// Pending call of a worker, and the part of its state that the leader knows.
  struct worker_state {
    // The pending call and its response function.
    fleet::worker_beat beat;
    respond_function respond;
    time_point called_at{};
    call_state state = call_state::none;
    time_point forwarded_at{};
    // Since when the worker has called and no call was forwarded; 0 after a
    // call was forwarded.
    time_point waiting_since{};
    // The pending call is forwarded whatever the window.
    bool overdue = false;
    // The last end that was sent to the leader `ends_sent_to` from a call that
    // waited, and when.
    std::string ends_sent_to;
    uint64_t last_end_sent = 0;
    time_point ends_sent_at{};
    // The state that the leader `known_to` has, by the forwarded call with the
    // sequence `forwarded_sequence`.
    std::string known_to;
    uint64_t forwarded_sequence = 0;
    worker_capacity forwarded_capacity;
    row_map forwarded_rows;
    time_point readings_forwarded_at{};
    time_point checkpoints_forwarded_at{};
  };

  void refuse(const fleet::worker_beat& beat, const respond_function& respond);
  std::vector<worker_state*> next_to_forward();
  bool may_put_off(const worker_state& it) const;
  void add_waiting_ends(const std::string& leader, fleet::beat_batch& batch);
  bool lists_unsent_ends(const worker_state& it,
                         const std::string& leader) const;
  void record_answer_time(const worker_state& it);
  void record_rtt(const worker_state& it, const fleet::beat_answer& answer);
  void shrink_window();
  bool is_out_of_reach() const;
  void put_off(worker_state& it);
  void fail(worker_state& it, const char* reason);
  bool window_full() const { return forwarded_ >= window_; }
  void set_state(worker_state& it, call_state state);
  static bool knows_worker(const worker_state& it, const std::string& leader);
  static fleet::worker_beat make_whole(worker_state& it);
  fleet::worker_beat make_difference(worker_state& it) const;

  intake_settings settings_;
  clock_source& clock_;
  metrics_registry& metrics_;
  // By incarnation, as a difference must not refer to an earlier incarnation.
  std::map<std::string, worker_state> workers_;
  // Calls that wait to be forwarded, and those of them that are overdue.
  size_t waiting_ = 0;
  size_t overdue_ = 0;
  // Workers whose calls with ends have waited since the last batch.
  std::set<std::string> waiting_with_ends_;
  // By its last answer, the leader is overloaded: it gets no calls beyond the
  // window.
  bool leader_overloaded_ = false;
  // Calls that the leader has, and their maximum number.
  size_t forwarded_ = 0;
  size_t window_ = settings_.initial_window;
  time_point shrunk_at_{};
  // Slow and timely answers since `shrunk_at_`.
  size_t slow_answers_ = 0;
  size_t timely_answers_ = 0;
  // Moving average of the round-trip time, and when it was last updated.
  milliseconds rtt_{0};
  time_point rtt_updated_at_{};
  std::optional<milliseconds> best_peer_rtt_;
  // Calls were forwarded since the last answer, the first one at
  // `unanswered_since_`.
  bool unanswered_ = false;
  time_point unanswered_since_{};
  // Longest time that a worker was put off since the last log line.
  milliseconds longest_put_off_{0};
};

}  // namespace kestrelreel

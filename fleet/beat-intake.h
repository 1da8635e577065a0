// Heartbeats that a control box takes in while another box leads.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "fleet/task-key.h"
#include "fleet/worker-load.h"
#include "kernel/metrics.h"
#include "proto/fleet.pb.h"

namespace kestrelreel {

/// Limits of the intake.
struct intake_settings {
  /// A worker's readings are passed on this often: they are averages of half a
  /// second.
  milliseconds readings_every{400};
  /// Its checkpoints this often: what a worker that is lost loses at most of
  /// its work beyond the users' own interval of 1 s.
  milliseconds checkpoints_every{2'000};
  /// Calls without an answer of the leader are given up after this: a worker
  /// turns to another box after a second.
  milliseconds answer_within{900};
  /// Calls that the leader has and has not answered: at first, at least (so
  /// that each of 220 workers is answered within 3 s, half of a lease, by a
  /// leader that takes half a second), and at most.
  size_t first_window = 256;
  size_t least_window = 40;
  size_t most_window = 1'024;
  /// A leader most of whose answers come later than this has more calls than it
  /// can take: a worker drops answers after 1 s, of which 100 ms may have
  /// passed here, and as much again passes before a narrower window has its
  /// effect.
  milliseconds answer_slow{450};
  /// A call that could not be passed on for so long is told to come again: the
  /// rest of the worker's second is too short for the leader's answer.
  milliseconds come_again_after{100};
  milliseconds come_again_in{200};
  /// Where no call was answered for so long, another box may reach the leader.
  milliseconds unanswered{1'000};
  /// What was seen of the way tells nothing any more after this.
  milliseconds way_known_for{2'000};
};

/// Reads heartbeats for the leader and passes on only what changed. It grants
/// nothing and orders nothing by itself: each answer is the leader's, given to
/// the very call that the leader read, so that a box that is slow, frozen or
/// cut off can only delay. Pure: messages and time go in and out. Not
/// thread-safe.
class beat_intake {
 public:
  using respond_function = std::function<void(fleet::fleet_response)>;

  beat_intake(intake_settings settings, clock_source& clock,
              metrics_registry& metrics)
      : settings_(settings), clock_(clock), metrics_(metrics) {}

  /// A worker's call; answered once, by the leader or by `expire`. One that
  /// fits the call before it not at all is refused here, told in the log and
  /// counted under the name that the leader's have.
  void take(fleet::worker_beat beat, respond_function respond);
  /// True when calls wait to be passed on, and the leader may get them.
  bool has_news() const { return news_ > 0 && out_ < window_; }
  /// The calls that were not passed on yet, for a leader of that name; one
  /// that was not told of a worker before is told all of it. No more than the
  /// leader can answer in time, first of those that leave, then of those that
  /// have had none passed on for longest, so that each has its turn: calls that
  /// waited unread at the leader were answered too late, each of them, and
  /// leases lapsed.
  fleet::beat_batch collect(const std::string& leader);
  /// What the leader answered; answers to earlier calls are dropped.
  void answered(const fleet::beat_answers& answers);
  /// Calls that wait are passed on anew: the last leader may never answer.
  void leader_changed();
  /// Gives up on calls that waited too long, and forgets workers that call
  /// elsewhere. To be called every 100 ms or so.
  void expire();
  /// Calls that wait for an answer.
  size_t waiting() const;
  /// How long calls and answers were on their way to and from the leader of
  /// late, without the time that it had them; none where none went.
  std::optional<milliseconds> way() const;
  /// The shortest that another box tells of its way.
  void know_way_elsewhere(std::optional<milliseconds> it) { elsewhere_ = it; }

 private:
  using row_map = std::map<run_key, fleet::running_row>;
  /// Where a worker's call is: answered, here, with the leader, or held there
  /// for work that may come.
  enum class call_state { none, waits, out, held };
  struct caller {
    // The call that is out, and whom to answer.
    fleet::worker_beat beat;
    respond_function respond;
    time_point called{};
    call_state state = call_state::none;
    time_point passed_at{};
    // Since when it calls and no call of it was passed on.
    time_point waits_since{};
    // Who was told what, by the call with the sequence `told_sequence`.
    std::string told_to;
    uint64_t told_sequence = 0;
    worker_room told_room;
    row_map told;
    time_point readings_told{};
    time_point checkpoints_told{};
  };

  void refuse(const fleet::worker_beat& beat, const respond_function& respond);
  std::vector<caller*> next_callers();
  void note_answer(const caller& it);
  void note_way(const caller& it, const fleet::beat_answer& answer);
  void narrow();
  bool is_out_of_reach() const;
  void put_off(caller& it);
  void give_up(caller& it, const char* reason);
  bool window_full() const { return out_ >= window_; }
  void set_state(caller& it, call_state state);
  static bool is_told(const caller& it, const std::string& leader);
  static fleet::worker_beat make_whole(caller& it);
  fleet::worker_beat make_difference(caller& it) const;

  intake_settings settings_;
  clock_source& clock_;
  metrics_registry& metrics_;
  // By life: what was told of an earlier one is no base for the next.
  std::map<std::string, caller> callers_;
  size_t news_ = 0;
  // Calls that the leader has, and how many it may have.
  size_t out_ = 0;
  size_t window_ = settings_.first_window;
  time_point narrowed_at_{};
  // Answers since then, by whether they came in time.
  size_t slow_ = 0;
  size_t quick_ = 0;
  // A moving average of the way, and when something was last seen of it.
  milliseconds way_{0};
  time_point way_seen_{};
  std::optional<milliseconds> elsewhere_;
  // Calls were passed on since the last answer, the first one then.
  bool unanswered_ = false;
  time_point unanswered_since_{};
  // The longest that a worker was put off, since that was told last.
  milliseconds longest_put_off_{0};
};

}  // namespace kestrelreel

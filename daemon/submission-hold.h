// Submissions that an entry box holds while there is no leader, for load that
// arrives during an election or while all control boxes are down.
#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "daemon/ask-again.h"

namespace kestrelreel {

/// A submission that waits at this box.
using submission_id = strong_count<struct submission_tag>;

/// Limits of a box's held submissions.
struct hold_limits {
  /// Bound the memory: submissions and their bytes.
  size_t max_held = 500;
  size_t max_bytes = 8 * 1'024 * 1'024;
  /// A submission is answered this long before its caller gives up: sending it
  /// then could not be answered in time.
  milliseconds margin{300};
  /// How many are sent at once, and how long until the next ones are: a new
  /// leader reads the heartbeats of all workers first.
  size_t release_batch = 8;
  milliseconds release_interval{50};
  /// The pause after the leader said `unavailable` to one that was sent.
  milliseconds pause_after_refusal = refusal_pause;
  /// The usual caller's time. One with hours of its own is held no longer: it
  /// may turn elsewhere meanwhile.
  milliseconds usual_wait{3'000};
  /// Callers give up after the usual wait, and an election takes 0.8 to 1.6 s.
  /// A leader that is away for longer is not away for an election, and nothing
  /// tells that the next one comes within a new caller's time.
  milliseconds longest_absence = usual_wait;
};

/// Why a held submission must be answered.
enum class hold_end {
  /// Its caller's time, or the usual one, is nearly over.
  no_leader_in_time,
  /// Its turn comes too late, or it gave way.
  too_many_held,
  /// The box stops first.
  box_ends,
};

/// A submission that is no longer held, to be answered.
struct ended_submission {
  submission_id id;
  hold_end cause = hold_end::no_leader_in_time;
  bool operator==(const ended_submission&) const = default;
};

/// Keeps submissions in the order of their deadlines. Pure: it neither sends
/// nor answers.
class submission_hold {
 public:
  explicit submission_hold(hold_limits limits = {}) : limits_(limits) {}

  const hold_limits& limits() const { return limits_; }
  size_t size() const { return held_.size(); }
  /// True if there is time to send a submission with this deadline at `at`.
  bool has_time(time_point deadline, time_point at) const {
    return deadline - at > limits_.margin;
  }
  /// True if a leader that was away for so long may come in a caller's time.
  bool leader_expected(milliseconds absence) const {
    return absence <= limits_.longest_absence;
  }

  /// Holds a submission. Returns those with the latest deadlines if they are
  /// too many or too large; they are no longer held.
  std::vector<submission_id> add(submission_id id, time_point deadline,
                                 size_t bytes);
  /// Takes those to be sent to the leader now: one to a leader that has not
  /// answered yet, the others once it has.
  std::vector<submission_id> release(time_point now);
  /// Takes those that must be answered now; none is answered after `latest`.
  std::vector<ended_submission> expire(time_point now, time_point latest);
  /// Takes all.
  std::vector<submission_id> take_all();

  /// Another leader, or none, is believed in.
  void target_changed();
  /// The leader gave a submission a clear answer.
  void answered() { trust_ = trust::answers; }
  /// The leader said `unavailable` to a submission that was released.
  void refused(time_point now);

 private:
  struct entry {
    time_point deadline;
    submission_id id;
    size_t bytes = 0;
    auto operator<=>(const entry&) const = default;
  };
  enum class trust { untried, asked, answers };
  std::optional<hold_end> end_of(const entry& it, time_point first,
                                 time_point turn, time_point latest) const;

  hold_limits limits_;
  std::set<entry> held_;
  size_t bytes_ = 0;
  trust trust_ = trust::untried;
  std::optional<time_point> released_at_;
  time_point pause_until_ = time_point::min();
};

}  // namespace kestrelreel

// Submissions that an entry box holds while there is no leader, for load that
// arrives during an election or while all control boxes are down.
#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace kestrelreel {

/// A submission that waits at this box.
using submission_id = strong_count<struct submission_tag>;

/// Limits of a box's held submissions.
struct hold_limits {
  /// Bounds the memory: a submission has some 10 KiB.
  size_t max_held = 500;
  /// A submission is answered this long before its caller gives up: sending it
  /// then could not be answered in time.
  milliseconds margin{300};
  /// How many are sent at once, and how long until the next ones are: a new
  /// leader reads the heartbeats of all workers first.
  size_t release_batch = 8;
  milliseconds release_interval{50};
};

/// Keeps submissions in the order of their deadlines. Pure: it neither sends
/// nor answers.
class submission_hold {
 public:
  explicit submission_hold(hold_limits limits = {}) : limits_(limits) {}

  /// True if there is time to hold a submission with this deadline.
  bool has_time(time_point deadline, time_point now) const {
    return deadline - now > limits_.margin;
  }
  /// Holds a submission. Returns the one with the latest deadline if they are
  /// too many; it is no longer held.
  std::optional<submission_id> add(submission_id id, time_point deadline);
  /// Takes those to be sent to the leader now.
  std::vector<submission_id> release(time_point now);
  /// Takes those that must be answered now; none is answered after `latest`.
  std::vector<submission_id> expire(time_point now, time_point latest);
  size_t size() const { return held_.size(); }

 private:
  using entry = std::pair<time_point, submission_id>;
  hold_limits limits_;
  std::set<entry> held_;
  std::optional<time_point> released_at_;
};

}  // namespace kestrelreel

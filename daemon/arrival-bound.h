// How long what is read now may have lain unread.
#pragma once

#include <algorithm>
#include <utility>

#include "base/clock.h"

namespace kestrelreel {

/// Bounds from below when bytes that are read now were sent. They may have
/// waited while the process did not run, or while the box was cut off. Pure:
/// times go in and come out.
class arrival_bound {
 public:
  /// Nothing was sent before the process started.
  explicit arrival_bound(time_point started_at)
      : turned_at_(started_at), gap_began_at_(started_at) {}

  /// To be called at each turn of the event loop with the box in contact with
  /// the others, at least every 100 ms.
  void turned(time_point now) {
    // No connection is older than the process.
    const bool is_first = !std::exchange(has_turned_, true);
    if (!is_first && now - turned_at_ > max_turn) {
      gap_began_at_ = turned_at_;
      read_by_ = now + std::max(min_backlog, now - turned_at_);
    }
    turned_at_ = now;
  }
  /// Nothing that is read at `now` was sent before the result.
  time_point earliest(time_point now) const {
    return now < read_by_ ? gap_began_at_ : turned_at_;
  }

 private:
  /// A turn that takes longer is a gap.
  static constexpr milliseconds max_turn{300};
  /// After a gap of the process its backlog takes a moment to read. After a cut
  /// a sender repeats its bytes after at most as long as the cut lasted.
  static constexpr milliseconds min_backlog{1'000};

  bool has_turned_ = false;
  time_point turned_at_;
  time_point gap_began_at_;
  time_point read_by_{0};
};

}  // namespace kestrelreel

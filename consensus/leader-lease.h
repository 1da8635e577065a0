// The leader lease: how long a leader may decide without contacting the other
// replicas, because none of them can have been elected.
#pragma once

#include <cstdint>
#include <deque>

#include "base/clock.h"
#include "consensus/raft.h"

namespace kestrelreel {

/// A voter that answers a heartbeat grants no vote for the minimum election
/// timeout after receiving that heartbeat, which is later than the time of
/// sending. The lease therefore runs from the time at which the leader sent the
/// latest round that a majority answered, by the leader's own steady clock.
class leader_lease {
 public:
  /// `duration` must be shorter than the minimum election timeout by at least
  /// the maximum clock drift plus the maximum by which timers fire early.
  explicit leader_lease(milliseconds duration) : duration_(duration) {}

  /// Must be called before each tick of the replica, with the current time.
  void before_tick(time_point now) { tick_began_ = now; }
  /// Must be called after each tick.
  void after_tick(const raft& state);
  /// True while the replica holds the lease.
  bool valid(const raft& state, time_point now);

 private:
  struct sent_round {
    uint64_t round;
    time_point at;
  };
  milliseconds duration_;
  time_point tick_began_{};
  uint64_t term_ = 0;
  std::deque<sent_round> rounds_;
};

}  // namespace kestrelreel

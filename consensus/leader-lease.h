// How long a leader may decide without asking: as long as no other replica
// can have been elected.
#pragma once

#include <cstdint>
#include <deque>

#include "base/clock.h"
#include "consensus/raft.h"

namespace kestrelreel {

/// A voter that answered a heartbeat votes for nobody else for the least
/// election time from when it got it, which is after it was sent. So the
/// leader may decide for that time from when it sent the latest round that a
/// majority answered, on its own steady clock.
class leader_lease {
 public:
  /// `duration` must be below the least election time by the most that clocks
  /// drift and timers come early.
  explicit leader_lease(milliseconds duration) : duration_(duration) {}

  /// To be called before each tick of the replica with the time by then.
  void before_tick(time_point now) { tick_began_ = now; }
  /// To be called after each tick.
  void after_tick(const raft& state);
  /// True while the replica may decide.
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

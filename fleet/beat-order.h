// Orders two heartbeats of one worker incarnation by the time of sending.
#pragma once

#include "base/clock.h"
#include "proto/fleet.pb.h"

namespace kestrelreel {

/// Order of a heartbeat relative to the last one received.
enum class heartbeat_order {
  /// The heartbeat was sent later.
  later,
  /// The heartbeat was sent earlier, or is a duplicate.
  overtaken,
  /// The two can't both be of one worker: the heartbeat is rejected.
  inconsistent
};

/// Sequence and steady clock of a worker both increase with every call, and its
/// pool and address are constant. Where sequence and clock disagree, another
/// sender wrote one of the two heartbeats: `next`, if its clock is behind that
/// of `last`, or ahead by more than the time since `last` was received; else
/// `last`.
heartbeat_order compare_heartbeats(const fleet::worker_beat& last,
                                   time_point received_at,
                                   const fleet::worker_beat& next,
                                   time_point now);

}  // namespace kestrelreel

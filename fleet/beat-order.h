// Which of two heartbeats of one life was sent later.
#pragma once

#include "base/clock.h"
#include "proto/fleet.pb.h"

namespace kestrelreel {

/// A heartbeat beside the last one that was taken in.
enum class beat_order {
  /// It was sent later.
  later,
  /// It was sent before, or is the same one again.
  overtaken,
  /// The two can't both be of one worker: this one is to change nothing.
  misfit
};

/// The sequence and the worker's steady clock both rise with every call, and
/// its pool and address stay. Where sequence and clock disagree, another writer
/// sent one of the two: it is this one where its clock lies behind or further
/// ahead than time has passed since `last` was taken in, else it is the other.
beat_order order_of(const fleet::worker_beat& last, time_point taken_in,
                    const fleet::worker_beat& next, time_point now);

}  // namespace kestrelreel

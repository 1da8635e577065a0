// Worker incarnations. A worker may restart under the same id: it has then lost
// all state, and its counters restart.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "proto/fleet.pb.h"

namespace kestrelreel {

/// Separates a worker's name from the start time of its incarnation. No name
/// contains the separator, as it can't occur in the path of a call.
constexpr std::string_view incarnation_separator = "#";

/// Identity of an incarnation: `NAME#BORN`, or `NAME` if `born`, in ms since
/// 1970, is 0 (not reported). Counters, leases and records refer to an
/// incarnation: by name alone, the counters and runs of an ended incarnation
/// would be mistaken for those of the next one.
worker_id incarnation_of(const std::string& name, uint64_t born);
/// The incarnation that sent the heartbeat.
worker_id incarnation_of(const fleet::worker_beat& beat);
/// The worker name of an incarnation.
std::string worker_name_of(const worker_id& incarnation);
/// Start time of an incarnation in ms since 1970; 0 if not reported.
uint64_t start_time_of(const worker_id& incarnation);

}  // namespace kestrelreel

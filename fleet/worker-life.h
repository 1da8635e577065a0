// One life of a worker. A worker may start again under the id that it had: it
// then knows nothing of before, and all that it counts begins anew.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "proto/fleet.pb.h"

namespace kestrelreel {

/// Stands between a worker's name and the birth of its life; no name holds it,
/// as it can't stand in the path of a call.
constexpr std::string_view birth_mark = "#";

/// The identity of a life, `NAME#BORN`; just `NAME` where `born`, in ms since
/// 1970, is 0: not told. Whatever is counted, granted or recorded of a worker
/// goes by its life: by the name alone, the counts and runs of a life that is
/// over would stand for those of the next one.
worker_id life_of(const std::string& name, uint64_t born);
/// The life that sent the heartbeat.
worker_id life_of(const fleet::worker_beat& beat);
/// The name of the life's worker.
std::string name_of(const worker_id& life);
/// When the life began; 0 where that was not told.
uint64_t born_of(const worker_id& life);

}  // namespace kestrelreel

// What of a box's memory its connections may hold together.
#pragma once

#include <algorithm>

#include "base/units.h"
#include "net/frame-stream.h"
#include "net/peer-transport.h"

namespace kestrelreel {

/// Requests and answers at the HTTP addresses.
constexpr byte_count http_memory_of(byte_count box) { return {box.value / 4}; }

/// gRPC messages; the largest one passes on a small box too.
constexpr byte_count grpc_memory_of(byte_count box) {
  constexpr uint64_t beside_largest = 16 << 20;
  return {
      std::max<uint64_t>(box.value / 4, max_message_bytes + beside_largest)};
}

/// Frames from and to boxes that connected by themselves; the largest one
/// passes beside others on a small box too.
constexpr byte_count mesh_memory_of(byte_count box) {
  constexpr uint64_t beside_largest = 8 << 20;
  return {std::max(box.value / 4, most_frame_bytes + beside_largest)};
}

}  // namespace kestrelreel

// A control box that greets as the leader, for tests of entry boxes.
#pragma once

#include "net/peer-mesh.h"

namespace kestrelreel {

/// Answers each message with a greeting: `box` leads and decides.
inline auto greet_as_leader(const char* box) {
  return [box](const auto&, const auto&, const auto& stream) {
    fleet::fleet_frame frame;
    frame.set_from(box);
    frame.mutable_hello()->set_leader(box);
    frame.mutable_hello()->set_decides(true);
    stream->send(frame);
  };
}

}  // namespace kestrelreel

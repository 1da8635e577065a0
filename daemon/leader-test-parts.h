// A control box that greets as the leader, for tests of entry boxes.
#pragma once

#include "net/peer-mesh.h"

namespace kestrelreel {

/// Says that `box` leads and decides.
inline fleet::box_hello hello_of_leader(const char* box) {
  fleet::box_hello out;
  out.set_leader(box);
  out.set_decides(true);
  return out;
}

/// Answers each message with what `hello()` says then.
template <typename Hello>
auto greet_with(const char* box, const Hello& hello) {
  return [box, hello](const auto&, const auto&, const auto& stream) {
    fleet::fleet_frame frame;
    frame.set_from(box);
    *frame.mutable_hello() = hello();
    stream->send(frame);
  };
}

/// Answers each message with a greeting: `box` leads and decides.
inline auto greet_as_leader(const char* box) {
  return greet_with(box, [box] { return hello_of_leader(box); });
}

}  // namespace kestrelreel

// Entry point for the requests of callers, workers and operators on whichever
// box they arrive.
#pragma once

#include <functional>
#include <string>

#include "base/clock.h"
#include "proto/fleet.pb.h"

namespace kestrelreel {

/// Passes a request on to the leader.
class fleet_gateway {
 public:
  using respond_function = std::function<void(fleet::fleet_response)>;
  virtual ~fleet_gateway() = default;
  /// Responds exactly once, within about `limit`.
  virtual void ask(const fleet::fleet_request& request, milliseconds limit,
                   respond_function respond) = 0;
  /// Reports a refused body that can't be parsed: the kind of body and the
  /// faulty member.
  virtual void note_unreadable(const std::string& /*what*/,
                               const std::string& /*member*/) {}
};

}  // namespace kestrelreel

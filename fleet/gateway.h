// Where requests of callers, workers and operators are handed in, on whichever
// box they arrive.
#pragma once

#include <functional>
#include <string>

#include "base/clock.h"
#include "proto/fleet.pb.h"

namespace kestrelreel {

/// Brings a request to the box that decides.
class fleet_gateway {
 public:
  using respond_function = std::function<void(fleet::fleet_response)>;
  virtual ~fleet_gateway() = default;
  /// Answers exactly once, within about `limit`.
  virtual void ask(const fleet::fleet_request& request, milliseconds limit,
                   respond_function respond) = 0;
  /// A body that can't be read was refused: of what, and the member at fault.
  virtual void note_unreadable(const std::string& /*what*/,
                               const std::string& /*member*/) {}
};

}  // namespace kestrelreel

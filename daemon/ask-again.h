// Whether an entry box asks again for a request that got no clear answer.
#pragma once

#include "base/clock.h"

namespace kestrelreel {

/// How a request stands after a try that did not settle it.
struct unsettled_request {
  /// Since it came, and until its caller gives up.
  milliseconds asked_for{0};
  milliseconds left{0};
  /// A leader may have taken it.
  bool may_have_run = false;
};

/// How long a request may wait for a leader: below a quarter of the shortest
/// objective that the users name (1,000 ms).
constexpr milliseconds leader_patience{200};
/// The pause before the next try.
constexpr milliseconds ask_pause{50};

/// One that surely was not taken is given up soon, so that its caller may turn
/// elsewhere. One that may have been is asked again while its caller waits: a
/// job keeps its identity, so that the next leader tells what became of it, or
/// takes it. To answer "unknown" loses it, since callers may not repeat it.
constexpr bool asks_again(const unsettled_request& it) {
  if (it.left <= ask_pause) return false;
  return it.may_have_run || it.asked_for < leader_patience;
}

}  // namespace kestrelreel

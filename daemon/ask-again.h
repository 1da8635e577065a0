// Whether an entry box asks again for a request that got no clear answer.
#pragma once

#include "base/clock.h"
#include "proto/fleet.pb.h"

namespace kestrelreel {

/// How a request stands after a try that did not settle it.
struct unsettled_request {
  /// Since it came, and until its caller gives up.
  milliseconds asked_for{0};
  milliseconds left{0};
  /// A leader may have taken it.
  bool may_have_run = false;
  /// Spent on connections that were not made. That is no patience with boxes
  /// that know no leader: the next one may be in reach.
  milliseconds connecting{0};
};

/// What a request may leave behind.
enum class request_kind {
  /// Nothing, however often it is asked.
  read,
  /// A job.
  submission,
  /// A job's end.
  cancel,
};

/// True when a try's outcome is the whole request's. A refusal speaks of its
/// own try alone: one before it that got no answer may still be on its way into
/// the log, and jobs ran that their callers were told to be refused.
constexpr bool settles(fleet::fleet_status outcome, request_kind kind,
                       bool may_have_run) {
  switch (outcome) {
    case fleet::fleet_ok:
      return true;
    case fleet::fleet_no_job:
      return !may_have_run || kind != request_kind::submission;
    case fleet::fleet_no_queue:
    case fleet::fleet_refused:
    case fleet::fleet_invalid:
      return !may_have_run || kind == request_kind::read;
    default:
      return false;
  }
}

/// How long a request is asked for by itself while there is no leader: below a
/// quarter of the shortest objective that the users name (1,000 ms). A
/// submission may be held beyond it (daemon/submission-hold.h).
constexpr milliseconds leader_patience{200};
/// The pause before the next try.
constexpr milliseconds ask_pause{50};
/// The pause after a refusal that does not settle the request: the leader has
/// too much to do already, and each try costs it a walk over all live jobs.
constexpr milliseconds refusal_pause{250};

constexpr milliseconds pause_after(fleet::fleet_status outcome) {
  const bool no_leader =
      outcome == fleet::fleet_unavailable || outcome == fleet::fleet_unknown;
  return no_leader ? ask_pause : refusal_pause;
}

/// One that surely was not taken is given up soon, so that its caller may turn
/// elsewhere. One that may have been is asked again while its caller waits: a
/// job keeps its identity, so that the next leader tells what became of it, or
/// takes it. To answer "unknown" loses it, since callers may not repeat it.
constexpr bool asks_again(const unsettled_request& it) {
  if (it.left <= ask_pause) return false;
  return it.may_have_run || it.asked_for - it.connecting < leader_patience;
}

}  // namespace kestrelreel

// Which of a door's connections gives way when a new one comes and all that the
// door may hold are taken.
#pragma once

#include <algorithm>
#include <cstddef>
#include <string>
#include <vector>

#include "base/clock.h"
#include "kernel/metrics.h"

namespace kestrelreel {

/// How a connection stands.
struct connection_activity {
  /// It has carried a whole request.
  bool served = false;
  /// The last time that its peer made a step.
  time_point moved_at{};

  /// True if it may be closed for a new one: its peer sends nothing, or stopped
  /// in the middle of a request. One that was served just now is likely to
  /// bring the next request.
  bool may_give_way(time_point now) const;
  /// True if this one gives way before `other`.
  bool gives_way_before(const connection_activity& other) const;
};

/// The connection that gives way first; null when none may. `connections` holds
/// pointers to what has `may_give_way`, `activity` and `has_unread`; bytes that
/// have arrived and are not read yet are a step.
template <typename Connections>
auto first_to_give_way(const Connections& connections, time_point now) {
  using pointer = typename Connections::value_type;
  /// Bounds the calls of the system.
  constexpr size_t most_asked = 16;
  std::vector<pointer> have_unread;
  while (have_unread.size() < most_asked) {
    pointer found{};
    for (const pointer& it : connections) {
      if (!it->may_give_way(now)) continue;
      if (found && !it->activity().gives_way_before(found->activity())) {
        continue;
      }
      const bool skipped = std::find(have_unread.begin(), have_unread.end(),
                                     it) != have_unread.end();
      if (!skipped) found = it;
    }
    if (!found || !found->has_unread()) return found;
    have_unread.push_back(found);
  }
  return pointer{};
}

/// Tell the log and `kestrelreel_connections_limited_total{door,what}` that a
/// new connection was refused, or that another one was closed for it.
void report_refused_connection(metrics_registry& metrics,
                               const std::string& door, size_t connections);
void report_closed_connection(metrics_registry& metrics,
                              const std::string& door, size_t connections,
                              const connection_activity& closed,
                              time_point now);

}  // namespace kestrelreel

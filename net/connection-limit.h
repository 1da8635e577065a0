// Which of a listener's connections is closed for a new one when there are as
// many as it may have.
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
  /// The last progress of its peer.
  time_point progress_at{};

  /// True if it may be closed for a new one: its peer sends nothing, or stopped
  /// in the middle of a request. One that was served recently is likely to
  /// bring the next request.
  bool is_evictable(time_point now) const;
  /// True if this one is closed before `other`.
  bool evicted_before(const connection_activity& other) const;
};

/// The connection to be closed first; null when none may be. `connections`
/// holds pointers to what has `is_evictable`, `activity` and `has_unread`;
/// bytes that have arrived and are not read yet are progress.
template <typename Connections>
auto find_evictable(const Connections& connections, time_point now) {
  using pointer = typename Connections::value_type;
  /// Bounds the calls of the system.
  constexpr size_t most_asked = 16;
  std::vector<pointer> have_unread;
  while (have_unread.size() < most_asked) {
    pointer found{};
    for (const pointer& it : connections) {
      if (!it->is_evictable(now)) continue;
      if (found && !it->activity().evicted_before(found->activity())) {
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

/// Tell the log and `kestrelreel_connections_limited_total{listener,what}` that
/// a new connection was refused, or that another one was closed for it.
void report_refused_connection(metrics_registry& metrics,
                               const std::string& listener, size_t connections);
void report_evicted_connection(metrics_registry& metrics,
                               const std::string& listener, size_t connections,
                               const connection_activity& closed,
                               time_point now);

}  // namespace kestrelreel

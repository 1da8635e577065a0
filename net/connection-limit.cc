#include "net/connection-limit.h"

#include "kernel/log.h"

namespace kestrelreel {
namespace detail {

/// A peer that has made no step for so long may be closed for a new one.
constexpr milliseconds unserved_still{500};
constexpr milliseconds served_still{5'000};
constexpr const char* limited_total = "kestrelreel_connections_limited_total";

}  // namespace detail

bool connection_activity::may_give_way(time_point now) const {
  const milliseconds limit =
      served ? detail::served_still : detail::unserved_still;
  return now - moved_at >= limit;
}

bool connection_activity::gives_way_before(
    const connection_activity& other) const {
  if (served != other.served) return other.served;
  return moved_at < other.moved_at;
}

void report_refused_connection(metrics_registry& metrics,
                               const std::string& door, size_t connections) {
  ++metrics.counter(detail::limited_total,
                    {{"door", door}, {"what", "refused"}});
  log_event(door, log_level::warn, "connection-refused")
      .with("connections", connections);
}

void report_closed_connection(metrics_registry& metrics,
                              const std::string& door, size_t connections,
                              const connection_activity& closed,
                              time_point now) {
  ++metrics.counter(detail::limited_total,
                    {{"door", door}, {"what", "closed"}});
  log_event(door, log_level::warn, "connection-gives-way")
      .with("connections", connections)
      .with("served", closed.served ? "yes" : "no")
      .with("still-ms", (now - closed.moved_at).count());
}

}  // namespace kestrelreel

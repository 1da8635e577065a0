#include "net/connection-limit.h"

#include "kernel/log.h"

namespace kestrelreel {
namespace detail {

/// A connection without progress for so long may be closed for a new one.
constexpr milliseconds unserved_limit{500};
constexpr milliseconds served_limit{5'000};
constexpr const char* limited_total = "kestrelreel_connections_limited_total";

}  // namespace detail

bool connection_activity::is_evictable(time_point now) const {
  const milliseconds limit =
      served ? detail::served_limit : detail::unserved_limit;
  return now - progress_at >= limit;
}

bool connection_activity::evicted_before(
    const connection_activity& other) const {
  if (served != other.served) return other.served;
  return progress_at < other.progress_at;
}

void report_refused_connection(metrics_registry& metrics,
                               const std::string& listener,
                               size_t connections) {
  ++metrics.counter(detail::limited_total,
                    {{"listener", listener}, {"what", "refused"}});
  log_event(listener, log_level::warn, "connection-refused")
      .with("connections", connections);
}

void report_evicted_connection(metrics_registry& metrics,
                               const std::string& listener, size_t connections,
                               const connection_activity& closed,
                               time_point now) {
  ++metrics.counter(detail::limited_total,
                    {{"listener", listener}, {"what", "evicted"}});
  log_event(listener, log_level::warn, "connection-evicted")
      .with("connections", connections)
      .with("served", closed.served ? "yes" : "no")
      .with("stalled-ms", (now - closed.progress_at).count());
}

}  // namespace kestrelreel

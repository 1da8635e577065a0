#include "fleet/beat-order.h"

namespace kestrelreel {
namespace detail {

/// Maximum transit time of a heartbeat: the platform's protocol allows delays
/// of seconds. Eight times the longest lease.
constexpr milliseconds max_transit_time{60'000};

/// A difference carries neither pool nor address.
bool same_place(const fleet::worker_beat& last,
                const fleet::worker_beat& next) {
  return next.base() != 0 ||
         (last.pool() == next.pool() && last.address() == next.address());
}

}  // namespace detail

heartbeat_order compare_heartbeats(const fleet::worker_beat& last,
                                   time_point received_at,
                                   const fleet::worker_beat& next,
                                   time_point now) {
  if (!detail::same_place(last, next)) return heartbeat_order::inconsistent;
  const bool higher = next.sequence() > last.sequence();
  if (last.clock_ms() == 0 || next.clock_ms() == 0) {
    return higher ? heartbeat_order::later : heartbeat_order::overtaken;
  }
  const milliseconds ahead(
      static_cast<int64_t>(next.clock_ms() - last.clock_ms()));
  const milliseconds max_ahead = now - received_at + detail::max_transit_time;
  if (ahead > max_ahead) return heartbeat_order::inconsistent;
  if (ahead > milliseconds(0)) return heartbeat_order::later;
  if (!higher) return heartbeat_order::overtaken;
  // Two calls within one millisecond have the same clock value.
  return ahead == milliseconds(0) ? heartbeat_order::later
                                  : heartbeat_order::inconsistent;
}

}  // namespace kestrelreel

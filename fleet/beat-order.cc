#include "fleet/beat-order.h"

namespace kestrelreel {
namespace detail {

/// A heartbeat may come seconds late, by the users' protocol; eight of the
/// longest leases.
constexpr milliseconds longest_way{60'000};

/// A difference tells no place.
bool same_place(const fleet::worker_beat& last,
                const fleet::worker_beat& next) {
  return next.base() != 0 ||
         (last.pool() == next.pool() && last.address() == next.address());
}

}  // namespace detail

beat_order order_of(const fleet::worker_beat& last, time_point taken_in,
                    const fleet::worker_beat& next, time_point now) {
  if (!detail::same_place(last, next)) return beat_order::misfit;
  const bool higher = next.sequence() > last.sequence();
  if (last.clock_ms() == 0 || next.clock_ms() == 0) {
    return higher ? beat_order::later : beat_order::overtaken;
  }
  const milliseconds ahead(
      static_cast<int64_t>(next.clock_ms() - last.clock_ms()));
  const milliseconds most = now - taken_in + detail::longest_way;
  if (ahead > most) return beat_order::misfit;
  if (ahead > milliseconds(0)) return beat_order::later;
  if (!higher) return beat_order::overtaken;
  // Two calls within one millisecond show the same time.
  return ahead == milliseconds(0) ? beat_order::later : beat_order::misfit;
}

}  // namespace kestrelreel

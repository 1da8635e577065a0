#include "fleet/intake-directory.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace kestrelreel {
namespace detail {

/// Control boxes announce themselves every 250 ms. A box that misses four
/// announcements is not assigned any workers.
constexpr milliseconds live_for{1'100};

/// Half of the round-trip time that makes a heartbeat's answer late.
constexpr milliseconds slow_rtt{200};
/// A box counts as faster than a slow one below this.
constexpr milliseconds fast_rtt{100};

}  // namespace detail

bool is_slow_rtt(std::optional<milliseconds> rtt,
                 std::optional<milliseconds> best_peer_rtt) {
  return rtt && *rtt > detail::slow_rtt && best_peer_rtt &&
         *best_peer_rtt < detail::fast_rtt;
}

intake_directory::intake_directory(const box_id& self,
                                   const data_centre_id& data_centre,
                                   const std::string& address)
    : self_(self) {
  boxes_[self] = {data_centre.str(), address, {}, {}};
}

void intake_directory::heard(const box_id& from, const fleet::box_hello& it,
                             time_point now) {
  if (from == self_ || it.beat_address().empty()) return;
  entry& box = boxes_[from] = {it.data_centre(), it.beat_address(), now, {}};
  if (it.has_way_ms()) {
    box.rtt = milliseconds(static_cast<int64_t>(it.way_ms()));
  }
}

bool intake_directory::is_live(const box_id& box, const entry& it,
                               time_point now) const {
  return box == self_ || now - it.heard_at < detail::live_for;
}

std::optional<milliseconds> intake_directory::best_peer_rtt(
    time_point now) const {
  std::optional<milliseconds> out;
  for (const auto& [box, it] : boxes_) {
    if (box == self_ || !it.rtt || !is_live(box, it, now)) continue;
    out = out ? std::min(*out, *it.rtt) : *it.rtt;
  }
  return out;
}

std::string intake_directory::address_for(const std::string& data_centre,
                                          const std::string& worker,
                                          time_point now) const {
  const auto best_rtt = best_peer_rtt(now);
  std::vector<const entry*> near;
  std::vector<const entry*> all;
  for (const auto& [box, it] : boxes_) {
    if (!is_live(box, it, now) || is_slow_rtt(it.rtt, best_rtt)) continue;
    all.push_back(&it);
    if (it.data_centre == data_centre) near.push_back(&it);
  }
  const auto& from = near.empty() ? all : near;
  return from[std::hash<std::string>()(worker) % from.size()]->address;
}

}  // namespace kestrelreel

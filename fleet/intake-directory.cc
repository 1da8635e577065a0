#include "fleet/intake-directory.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace kestrelreel {
namespace detail {

/// Control boxes tell of themselves every quarter of a second; one that misses
/// four times is not sent anybody.
constexpr milliseconds up_for{1'100};

/// Half of what makes a heartbeat's answer late.
constexpr milliseconds long_way{200};
constexpr milliseconds short_way{100};

}  // namespace detail

bool is_slow_way(std::optional<milliseconds> way,
                 std::optional<milliseconds> elsewhere) {
  return way && *way > detail::long_way && elsewhere &&
         *elsewhere < detail::short_way;
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
    box.way = milliseconds(static_cast<int64_t>(it.way_ms()));
  }
}

bool intake_directory::is_up(const box_id& box, const entry& it,
                             time_point now) const {
  return box == self_ || now - it.heard < detail::up_for;
}

std::optional<milliseconds> intake_directory::shortest_way(
    time_point now) const {
  std::optional<milliseconds> out;
  for (const auto& [box, it] : boxes_) {
    if (box == self_ || !it.way || !is_up(box, it, now)) continue;
    out = out ? std::min(*out, *it.way) : *it.way;
  }
  return out;
}

std::string intake_directory::address_for(const std::string& data_centre,
                                          const std::string& worker,
                                          time_point now) const {
  const auto shortest = shortest_way(now);
  std::vector<const entry*> near;
  std::vector<const entry*> all;
  for (const auto& [box, it] : boxes_) {
    if (!is_up(box, it, now) || is_slow_way(it.way, shortest)) continue;
    all.push_back(&it);
    if (it.data_centre == data_centre) near.push_back(&it);
  }
  const auto& from = near.empty() ? all : near;
  return from[std::hash<std::string>()(worker) % from.size()]->address;
}

}  // namespace kestrelreel

#include "fleet/intake-directory.h"

#include <functional>
#include <vector>

namespace kestrelreel {
namespace detail {

/// Control boxes tell of themselves every quarter of a second; one that misses
/// four times is not sent anybody.
constexpr milliseconds up_for{1'100};

}  // namespace detail

intake_directory::intake_directory(const box_id& self,
                                   const data_centre_id& data_centre,
                                   const std::string& address)
    : self_(self) {
  boxes_[self] = {data_centre.str(), address, {}};
}

void intake_directory::heard(const box_id& from, const fleet::box_hello& it,
                             time_point now) {
  if (from == self_ || it.beat_address().empty()) return;
  boxes_[from] = {it.data_centre(), it.beat_address(), now};
}

bool intake_directory::is_up(const box_id& box, const entry& it,
                             time_point now) const {
  return box == self_ || now - it.heard < detail::up_for;
}

std::string intake_directory::address_for(const std::string& data_centre,
                                          const std::string& worker,
                                          time_point now) const {
  std::vector<const entry*> near;
  std::vector<const entry*> all;
  for (const auto& [box, it] : boxes_) {
    if (!is_up(box, it, now)) continue;
    all.push_back(&it);
    if (it.data_centre == data_centre) near.push_back(&it);
  }
  const auto& from = near.empty() ? all : near;
  return from[std::hash<std::string>()(worker) % from.size()]->address;
}

}  // namespace kestrelreel

// Which control box a worker should call.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "base/clock.h"
#include "base/ids.h"
#include "proto/fleet.pb.h"

namespace kestrelreel {

/// True where calls and answers take long on their way to and from the leader
/// alone, and less than half of it elsewhere. A slow leader makes all ways
/// long, as calls wait there unread.
bool is_slow_way(std::optional<milliseconds> way,
                 std::optional<milliseconds> elsewhere);

/// Knows the control boxes that are up from what they tell of themselves. Each
/// worker calls the one in its data centre, so that its rows cross to another
/// only as differences; without one there the workers are spread over all.
class intake_directory {
 public:
  /// This box, which is always up.
  intake_directory(const box_id& self, const data_centre_id& data_centre,
                   const std::string& address);

  /// What another control box told of itself.
  void heard(const box_id& from, const fleet::box_hello& it, time_point now);
  /// How long the way between this box and the leader is, if that is known.
  void know_own_way(std::optional<milliseconds> way) {
    boxes_[self_].way = way;
  }
  /// The shortest way that another box told.
  std::optional<milliseconds> shortest_way(time_point now) const;
  /// Where a worker of that data centre should call: an IP:PORT.
  std::string address_for(const std::string& data_centre,
                          const std::string& worker, time_point now) const;

 private:
  struct entry {
    std::string data_centre;
    std::string address;
    time_point heard{};
    std::optional<milliseconds> way{};
  };
  bool is_up(const box_id& box, const entry& it, time_point now) const;

  box_id self_;
  std::map<box_id, entry> boxes_;
};

}  // namespace kestrelreel

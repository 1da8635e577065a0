// Selects the control box that a worker should call.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "base/clock.h"
#include "base/ids.h"
#include "proto/fleet.pb.h"

namespace kestrelreel {

/// True when a box's round-trip time to the leader is high, and another box has
/// less than half of the limit. A slow leader makes the round trips of all
/// boxes slow, as calls wait there unread.
bool is_slow_rtt(std::optional<milliseconds> rtt,
                 std::optional<milliseconds> best_peer_rtt);

/// Directory of the live control boxes, built from their announcements. Each
/// worker calls a box in its data centre, so that rows cross to another data
/// centre only as differences. Without a box there the workers are spread over
/// all boxes.
class intake_directory {
 public:
  /// Adds this box, which always counts as live.
  intake_directory(const box_id& self, const data_centre_id& data_centre,
                   const std::string& address);

  /// Records the announcement of another control box.
  void heard(const box_id& from, const fleet::box_hello& it, time_point now);
  /// Sets this box's round-trip time to the leader; none while unknown.
  void set_own_rtt(std::optional<milliseconds> rtt) { boxes_[self_].rtt = rtt; }
  /// The lowest round-trip time to the leader that another live box reports.
  std::optional<milliseconds> best_peer_rtt(time_point now) const;
  /// Address that a worker of a data centre should call, as IP:PORT.
  std::string address_for(const std::string& data_centre,
                          const std::string& worker, time_point now) const;

 private:
  struct entry {
    std::string data_centre;
    std::string address;
    time_point heard_at{};
    std::optional<milliseconds> rtt{};
  };
  bool is_live(const box_id& box, const entry& it, time_point now) const;

  box_id self_;
  std::map<box_id, entry> boxes_;
};

}  // namespace kestrelreel

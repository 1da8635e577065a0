// The data centres that an operator has evacuated. Part of the replicated
// state: equal logs give equal evacuations.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "proto/fleet.pb.h"

namespace kestrelreel {

/// Which data centres get no new work, by which order, and since when.
class evacuations {
 public:
  /// An order that is in force.
  struct entry {
    /// Counts all orders to evacuate and to take that back.
    uint64_t version = 0;
    /// Time of day in ms since 1970 by the leader that took it.
    uint64_t ordered_at_ms = 0;
  };

  /// The last order for a data centre rules; one that changes nothing keeps
  /// the version and the time of the one in force.
  void apply(const fleet::evacuation_order& order);
  bool holds(const std::string& data_centre) const {
    return !in_force_.empty() && in_force_.contains(data_centre);
  }
  bool empty() const { return in_force_.empty(); }
  const std::map<std::string, entry>& in_force() const { return in_force_; }
  uint64_t version() const { return version_; }
  /// Names of the evacuated data centres, with commas; for logs.
  std::string names() const;
  void save(fleet::fleet_snapshot& out) const;
  void load(const fleet::fleet_snapshot& in);

 private:
  std::map<std::string, entry> in_force_;
  uint64_t version_ = 0;
};

}  // namespace kestrelreel

// Data centres that an operator has evacuated. Part of the replicated state and
// a function of the log alone.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "proto/fleet.pb.h"

namespace kestrelreel {

/// The evacuated data centres, which get no new work, with their orders.
class evacuations {
 public:
  /// An order in force.
  struct entry {
    /// Number of orders to evacuate or to cancel an evacuation so far.
    uint64_t version = 0;
    /// Time of day at which the leader accepted the order, in ms since 1970.
    uint64_t ordered_at_ms = 0;
  };

  /// Applies an order, which replaces the previous one for its data centre. An
  /// order that changes nothing keeps the previous version and time.
  void apply(const fleet::evacuation_order& order);
  bool holds(const std::string& data_centre) const {
    return !in_force_.empty() && in_force_.contains(data_centre);
  }
  bool empty() const { return in_force_.empty(); }
  const std::map<std::string, entry>& in_force() const { return in_force_; }
  uint64_t version() const { return version_; }
  /// Comma-separated names of the evacuated data centres, for logs.
  std::string names() const;
  void save(fleet::fleet_snapshot& out) const;
  void load(const fleet::fleet_snapshot& in);

 private:
  std::map<std::string, entry> in_force_;
  uint64_t version_ = 0;
};

}  // namespace kestrelreel

// Tracks which boxes of the cluster are live, from their heartbeats.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "proto/peer.pb.h"

namespace kestrelreel {

/// A box as listed in the settings.
struct box_entry {
  box_id id;
  data_centre_id data_centre;
  /// Address at which the other boxes connect, `IP:PORT`.
  std::string peer_address;
  /// True for a box with a data folder, which holds a replica of the record.
  bool replica = false;
};

/// The latest heartbeat of a box.
struct box_view {
  uint64_t incarnation = 0;
  time_point last_heard{};
  bool ever_heard = false;
  proto::box_digest digest;
};

/// The boxes of the cluster and the latest heartbeat of each.
class box_table {
 public:
  /// Silence after which a box counts as dead, in this box's data centre and in
  /// other data centres. The local timeout is shorter because more depends on
  /// detecting the loss of a box nearby.
  static constexpr milliseconds local_timeout{2'000};
  static constexpr milliseconds remote_timeout{6'000};

  box_table(box_id self, std::vector<box_entry> boxes, clock_source& clock);

  /// Records a heartbeat; ignores one of an older incarnation.
  void record_heartbeat(const box_id& box, uint64_t incarnation,
                        const proto::box_digest& digest);

  const box_id& self() const { return self_; }
  const std::vector<box_entry>& boxes() const { return boxes_; }
  /// The entry of a box; null for an unknown one.
  const box_entry* find(const box_id& box) const;
  /// The latest heartbeat of a box; empty for an unknown box.
  const box_view& view(const box_id& box) const;
  /// True for this box, and for a box whose last heartbeat is within its
  /// timeout.
  bool live(const box_id& box) const;
  /// True for a box in the same data centre as this box.
  bool is_local(const box_id& box) const;
  /// The boxes of a data centre, in the order of the settings.
  std::vector<box_id> in_data_centre(const data_centre_id& it) const;
  /// The boxes of a data centre that are live and not stopping.
  std::vector<box_id> serving_in(const data_centre_id& it) const;
  /// The data centre of this box.
  const data_centre_id& own_data_centre() const;

 private:
  box_id self_;
  std::vector<box_entry> boxes_;
  clock_source& clock_;
  std::map<box_id, box_view> views_;
};

}  // namespace kestrelreel

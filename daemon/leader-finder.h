// Which control box an entry box turns to. Pure: frames and time go in, the
// boxes to greet come out.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "proto/fleet.pb.h"

namespace kestrelreel {

/// Knows the control boxes from the seeds and from what they tell of each
/// other. Prefers the one that decides; while that can't be reached, any that
/// names a leader passes requests on to it.
class leader_finder {
 public:
  /// Seeds that the settings name now; boxes known so far stay known.
  void know(const box_id& box);
  /// A hello came from a box.
  void heard(const box_id& from, const fleet::box_hello& it, time_point now);
  /// An answer to a request came from a box.
  void answered(const box_id& from, time_point now);
  /// The connection to a box was lost or never came up, or a request got no
  /// answer there: nothing it said is believed until it is heard again.
  void lost(const box_id& box);
  /// The box to ask: the one that said last that it decides. Empty while none
  /// is known to have a leader.
  box_id target(time_point now) const;
  /// True while the target decides by itself.
  bool target_decides(time_point now) const;
  /// Boxes that are due for a hello; each is noted as greeted.
  std::vector<box_id> to_greet(time_point now);

 private:
  struct control {
    std::optional<time_point> heard_at;
    std::optional<time_point> greeted_at;
    bool decides = false;
    std::string leader;
  };
  std::vector<box_id> to_search(time_point now);
  bool fresh(const control& it, time_point now) const;

  std::map<box_id, control> controls_;
};

}  // namespace kestrelreel

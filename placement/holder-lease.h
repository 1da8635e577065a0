// Who decides for a data centre: a lease that a majority of its boxes grants,
// without a disk and without the other data centres. docs/design/holder.md
// gives the argument that two boxes never hold it at once.
#pragma once

#include <functional>
#include <set>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "proto/peer.pb.h"
#include "record/box-table.h"

namespace kestrelreel {

/// Lengths of a holder's lease. Clocks may drift apart by `drift_percent`.
struct lease_settings {
  milliseconds duration{3'000};
  unsigned drift_percent = 5;

  /// The duration as a clock that runs too fast must count it.
  milliseconds with_drift() const {
    return duration + duration * drift_percent / 100;
  }
};

/// The boxes that grant a data centre's lease: its own, and where those are
/// fewer than three, others of the cluster in the order of the settings, so
/// that one lost box leaves a majority.
std::vector<box_id> lease_grantors(const box_table& boxes,
                                   const data_centre_id& data_centre);

/// One box's part in the lease: it grants, and asks for it when nobody holds
/// it. Pure: messages and ticks in, messages out.
class holder_lease {
 public:
  using send_function = std::function<void(const box_id&, proto::peer_message)>;

  /// `grantors` are all boxes that grant, this one included; their order says
  /// who asks first.
  holder_lease(box_id self, data_centre_id data_centre,
               std::vector<box_id> grantors, lease_settings settings,
               clock_source& clock, send_function send);

  /// To be called several times per lease, on boxes of the data centre alone.
  /// `other_holder` tells that a live box says it holds the lease.
  void tick(bool other_holder);
  void on_request(const box_id& from, const proto::lease_request& request);
  void on_reply(const box_id& from, const proto::lease_reply& reply);
  /// Ends a held lease at once; this box no longer asks for it.
  void resign();

  /// True once this box may grant: a grantor that has just started waits out
  /// the leases that it may have granted before.
  bool grants() const { return clock_.now() >= silent_until_; }
  /// True while this box holds the lease. To be asked before each decision.
  bool held() const;
  /// Epoch of the lease held; only meaningful while `held`.
  epoch_number epoch() const { return epoch_number(epoch_); }
  /// When this reign began.
  time_point held_since() const { return held_since_; }
  /// A worker has obeyed that epoch of another holder: ends a reign that is
  /// not above it and asks for a higher one.
  void outbid(epoch_number seen);

 private:
  void ask();
  void release();
  milliseconds turn() const;
  bool grant(const box_id& from, const proto::lease_request& request);

  box_id self_;
  data_centre_id data_centre_;
  std::vector<box_id> boxes_;
  lease_settings settings_;
  clock_source& clock_;
  send_function send_;

  // As grantor.
  box_id granted_to_;
  time_point granted_until_;
  uint64_t highest_epoch_ = 0;
  time_point silent_until_;

  // As asker and holder.
  uint64_t epoch_ = 0;
  uint64_t round_ = 0;
  time_point asked_at_{};
  std::set<box_id> grants_;
  time_point held_until_{};
  time_point held_since_{};
  time_point next_ask_;
  bool resigned_ = false;
};

}  // namespace kestrelreel

// The service `record`: this box's copy of the record, as a replica or by the
// feed of others, and the table of live boxes.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "consensus/replica.h"
#include "daemon/network-service.h"
#include "daemon/process-context.h"
#include "kernel/disk.h"
#include "kernel/service.h"
#include "net/blocking-thread.h"
#include "record/box-table.h"
#include "record/feed.h"
#include "record/record-state.h"

namespace kestrelreel {

/// What other services may ask of the record.
class record_service final : public service, public replica_callbacks {
 public:
  explicit record_service(process_context& context);
  ~record_service() override;

  std::string_view name() const override { return service_names::record; }
  std::vector<std::string> dependencies() const override {
    return {service_names::network};
  }
  absl::Status start(service_registry& registry) override;
  void stop() override;

  const record_state& state() const { return state_; }
  const box_table& boxes() const { return *boxes_; }
  /// The replica of this box; null without one.
  const raft* replica_state() const;
  /// The box that leads, as far as known; empty when not.
  box_id leader() const;
  bool leads() const;
  /// True once this box has caught up with all boxes that it heard.
  bool ready() const;

  /// Sends a command to the leader. It may be lost: whoever needs its effect
  /// watches the record and asks again.
  void propose(const proto::command& command);
  /// Calls `it` after the record changed, with what changed.
  using change_handler =
      std::function<void(const record_state::touched_items&)>;
  void on_change(change_handler it);
  /// Adds to what this box tells the others of itself.
  void on_heartbeat(std::function<void(proto::box_digest&)> it);
  /// Tells all others at once, after a change of what it tells.
  void send_heartbeat() { send_heartbeat(true); }
  /// Hands the leadership on, if this box leads.
  void transfer_leadership();

 private:
  void send(const proto::raft_message& m) override;
  void install(const proto::log_snapshot& snapshot) override;
  void apply(const proto::log_entry& entry) override;
  std::string save_state() override;
  void disk_failed(const absl::Status& status) override;

  absl::Status start_replica();
  absl::StatusOr<std::unique_ptr<log_store>> open_store();
  proto::membership founding_members() const;
  std::string new_identity();
  void subscribe();
  void on_fed(const box_id& from, const proto::feed_reply& reply);
  void on_feed_request(const box_id& from, const proto::feed_request& it);
  void tick();
  void changed();
  void send_heartbeat(bool to_all);

  process_context& context_;
  network_service* network_ = nullptr;
  record_state state_;
  std::unique_ptr<box_table> boxes_;
  std::unique_ptr<feed_source> source_;
  std::unique_ptr<feed_sink> sink_;
  std::unique_ptr<folder_disk> folder_;
  std::unique_ptr<blocking_thread> disk_thread_;
  std::unique_ptr<replica> replica_;
  std::string fed_leader_;
  raft_role last_role_ = raft_role::follower;
  bool change_pending_ = false;
  uint64_t version_told_ = 0;
  unsigned heartbeats_ = 0;
  time_point started_{};
  std::vector<change_handler> change_handlers_;
  std::vector<std::function<void(proto::box_digest&)>> heartbeat_handlers_;
  repeating_timer tick_timer_;
  repeating_timer heartbeat_timer_;
};

}  // namespace kestrelreel

// The service `fleet-record`: this control box's replica of the log, and the
// decisions while it leads.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <string>

#include "consensus/leader-lease.h"
#include "consensus/replica.h"
#include "daemon/arrival-bound.h"
#include "daemon/mesh-service.h"
#include "daemon/repeating-timer.h"
#include "daemon/seeded-context.h"
#include "fleet/beat-intake.h"
#include "fleet/controller.h"
#include "fleet/gateway.h"
#include "fleet/intake-directory.h"
#include "kernel/disk.h"
#include "net/blocking-thread.h"

namespace kestrelreel {

/// Runs the replica and the controller, answers the other boxes, and passes
/// requests on to the leader while another box leads.
class fleet_record_service final : public service,
                                   public replica_callbacks,
                                   public fleet_log,
                                   public fleet_gateway {
 public:
  explicit fleet_record_service(seeded_context& context);
  ~fleet_record_service() override;

  std::string_view name() const override { return seeded_names::record; }
  std::vector<std::string> dependencies() const override {
    return {seeded_names::mesh};
  }
  absl::Status start(service_registry& registry) override;
  void stop() override;

  /// Asks the leader, wherever it is.
  void ask(const fleet::fleet_request& request, milliseconds limit,
           respond_function respond) override;
  void note_unreadable(const std::string& what,
                       const std::string& member) override;
  /// Hands the leadership on, if this box leads.
  void transfer_leadership();
  /// The seeds changed.
  void learn_seeds();

  bool may_decide() override;
  term_number term() const override;
  absl::Status propose(const fleet::fleet_command& command) override;

 private:
  void send(const proto::raft_message& m) override;
  void install(const proto::log_snapshot& snapshot) override;
  void apply(const proto::log_entry& entry) override;
  std::string save_state() override;
  [[noreturn]] static void end_unreadable(uint64_t index,
                                          std::string_view error);
  void disk_full(const absl::Status& status) override;
  void disk_failed(const absl::Status& status) override;

  absl::StatusOr<std::unique_ptr<log_store>> open_store();
  absl::Status start_replica();
  controller_settings make_controller_settings() const;
  void on_message(const box_id& from, const fleet::fleet_frame& frame,
                  const peer_mesh::stream_pointer& stream);
  void on_request(const fleet::fleet_frame& frame, respond_function respond);
  void ask_leader(const fleet::fleet_request& request, milliseconds limit,
                  respond_function respond);
  void order_evacuation(fleet::fleet_request request, milliseconds limit,
                        respond_function respond);
  void pass_on_evacuation(const fleet::fleet_request& request,
                          time_point sent_since, time_point deadline,
                          respond_function respond);
  bool in_contact();
  void tick();
  void check_role();
  void settle_soon();
  void take_beat(const fleet::worker_beat& beat, respond_function respond);
  void on_beats(const box_id& from, const fleet::beat_batch& batch);
  void pass_on_soon();
  void pass_on();
  void send_answers();
  void greet_controls();
  fleet::fleet_frame hello();
  std::string leader_told() const;

  seeded_context& context_;
  peer_mesh* mesh_ = nullptr;
  std::unique_ptr<folder_disk> folder_;
  std::unique_ptr<blocking_thread> disk_thread_;
  leader_lease lease_;
  fleet_controller controller_;
  heartbeat_intake intake_;
  intake_directory directory_;
  arrival_bound arrivals_;
  // Answers to heartbeats, by the box that took them in.
  std::map<box_id, fleet::beat_answers> answers_;
  std::unique_ptr<replica> replica_;
  raft_role last_role_ = raft_role::follower;
  std::string last_leader_;
  bool announced_deciding_ = false;
  uint64_t announced_version_ = 0;
  bool full_ = false;
  bool settle_armed_ = false;
  time_point settled_at_{};
  bool pass_on_armed_ = false;
  time_point greeted_at_{};
  boost::asio::steady_timer settle_timer_;
  boost::asio::steady_timer pass_on_timer_;
  repeating_timer tick_timer_;
};

}  // namespace kestrelreel

// The service `holder`: asks for the data centre's lease and, while it holds
// it, decides what its workers run and lends their slots to the entry boxes.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "daemon/network-service.h"
#include "daemon/process-context.h"
#include "daemon/record-service.h"
#include "kernel/service.h"
#include "net/worker-link.h"
#include "placement/holder-lease.h"
#include "placement/planner.h"
#include "placement/policy.h"
#include "placement/task-book.h"
#include "routing/slot-lender.h"

namespace kestrelreel {

/// The holder's part of this box.
class holder_service final : public service {
 public:
  explicit holder_service(process_context& context);
  ~holder_service() override;

  std::string_view name() const override { return service_names::holder; }
  std::vector<std::string> dependencies() const override {
    return {service_names::network, service_names::record};
  }
  absl::Status start(service_registry& registry) override;
  void stop() override;

  /// True while this box decides for its data centre.
  bool holds() const { return active_ && lease_->held(); }
  const task_book& book() const { return *book_; }
  /// The box that says it holds the lease; empty when none does.
  box_id holder() const;
  /// True once this box counts as a grantor again after its start.
  bool grants() const { return lease_->grants(); }
  /// Hands the lease back before a planned stop.
  void resign();

 private:
  void make_leases();
  holder_lease* find_lease(const std::string& data_centre);
  void subscribe();
  void lease_tick();
  void begin_reign();
  void end_reign();
  void work_tick();
  void update_tasks();
  void sync_workers();
  void on_reply(const worker_id& worker, uint64_t sequence,
                absl::StatusOr<proto::sync_reply> reply);
  void record_completions();
  void plan();
  void poll_platform();
  void take_list(const std::vector<worker_info>& workers);
  void answer_runners(const box_id& from, const proto::runner_request& it);
  std::vector<lendable_runner> runners() const;

  process_context& context_;
  network_service* network_ = nullptr;
  record_service* record_ = nullptr;
  std::unique_ptr<placement_policy> policy_;
  std::unique_ptr<task_book> book_;
  // This box's part in the lease of its own data centre, and in those of
  // small ones that need a grantor from elsewhere.
  holder_lease* lease_ = nullptr;
  std::map<data_centre_id, std::unique_ptr<holder_lease>> leases_;
  std::unique_ptr<slot_lender> lender_;
  std::unique_ptr<grpc_worker_link> workers_;
  bool active_ = false;
  record_state::touched_items touched_;
  bool polling_ = false;
  time_point last_completion_{};
  repeating_timer lease_timer_;
  repeating_timer work_timer_;
  repeating_timer slow_timer_;
};

}  // namespace kestrelreel

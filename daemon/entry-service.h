// The service `entry`: serves callers.
#pragma once

#include <functional>
#include <map>
#include <memory>

#include "daemon/holder-service.h"
#include "daemon/network-service.h"
#include "daemon/process-context.h"
#include "daemon/record-service.h"
#include "kernel/service.h"
#include "routing/entry-server.h"
#include "routing/service-router.h"
#include "routing/upstream.h"

namespace kestrelreel {

/// The callers' side of this box.
class entry_service final : public service {
 public:
  explicit entry_service(process_context& context);
  ~entry_service() override;

  std::string_view name() const override { return service_names::entry; }
  std::vector<std::string> dependencies() const override {
    return {service_names::network, service_names::record,
            service_names::holder};
  }
  absl::Status start(service_registry& registry) override;
  void stop() override;

  /// True when callers may be sent here.
  bool ready() const;
  /// Ends the callers' connections in an orderly way.
  void drain(std::function<void()> drained);

 private:
  void ask_for_runners();
  void on_table(const proto::runner_table& table);
  void add_metrics();

  process_context& context_;
  network_service* network_ = nullptr;
  record_service* record_ = nullptr;
  holder_service* holder_ = nullptr;
  std::unique_ptr<service_router> router_;
  std::unique_ptr<connection_cache> connections_;
  std::unique_ptr<entry_context> entry_;
  std::unique_ptr<entry_server> server_;
  bool have_table_ = false;
  uint64_t round_ = 0;
  uint64_t have_round_ = 0;
  uint64_t have_epoch_ = 0;
  std::map<uint64_t, time_point> asked_;
  repeating_timer table_timer_;
  repeating_timer tick_timer_;
};

}  // namespace kestrelreel

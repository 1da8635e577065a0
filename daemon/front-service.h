// The service `front`: the HTTP addresses of a box of a seeded deployment.
#pragma once

#include <memory>

#include "daemon/entry-gateway-service.h"
#include "daemon/fleet-record-service.h"
#include "daemon/seeded-context.h"
#include "net/http-service.h"
#include "platform/fronts.h"

namespace kestrelreel {

/// Callers and the balancer's question on entry boxes; workers and operators
/// on control boxes.
class front_service final : public service {
 public:
  explicit front_service(seeded_context& context) : context_(context) {}

  std::string_view name() const override { return seeded_names::front; }
  std::vector<std::string> dependencies() const override {
    if (context_.settings.role == seeded_role::control) {
      return {seeded_names::record};
    }
    return {seeded_names::gateway};
  }
  absl::Status start(service_registry& registry) override;
  void stop() override;

  /// Answers under way go out; connections end after their next one.
  void drain();
  /// True when a stop now cuts off no request, also none that is unread.
  bool is_quiet();

 private:
  absl::Status start_entry(entry_gateway_service& gateway);
  absl::Status start_control(fleet_record_service& record);
  void set_bounds(const fleet::request_bounds& bounds);

  seeded_context& context_;
  std::unique_ptr<platform::callers_front> callers_;
  std::unique_ptr<platform::control_front> control_;
  std::unique_ptr<http_service> main_;
  std::unique_ptr<http_service> readiness_;
};

}  // namespace kestrelreel

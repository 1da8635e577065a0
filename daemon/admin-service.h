// The service `admin`: `/metrics`, `/healthz` and `/readyz` over HTTP.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "daemon/entry-service.h"
#include "daemon/process-context.h"
#include "kernel/service.h"
#include "net/http-service.h"

namespace kestrelreel {

/// Answers the balancer's and the monitoring's questions.
class admin_service final : public service {
 public:
  explicit admin_service(process_context& context);

  std::string_view name() const override { return service_names::admin; }
  std::vector<std::string> dependencies() const override {
    return {service_names::entry};
  }
  absl::Status start(service_registry& registry) override;
  void stop() override;

 private:
  std::pair<unsigned, std::string> answer(std::string_view path) const;

  process_context& context_;
  entry_service* entry_ = nullptr;
  http_service http_;
};

}  // namespace kestrelreel

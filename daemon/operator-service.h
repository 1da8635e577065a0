// The service `operators`: answers the operators' client.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>

#include "daemon/holder-service.h"
#include "daemon/process-context.h"
#include "daemon/record-service.h"
#include "kernel/service.h"
#include "net/operator-server.h"

namespace kestrelreel {

/// The operators' side of this box.
class operator_service final : public service, public operator_handler {
 public:
  explicit operator_service(process_context& context);
  ~operator_service() override;

  std::string_view name() const override { return service_names::operators; }
  std::vector<std::string> dependencies() const override {
    return {service_names::record, service_names::holder};
  }
  absl::Status start(service_registry& registry) override;
  void stop() override;

 private:
  /// A change whose outcome is awaited.
  struct pending_change {
    proto::apply_request request;
    proto::apply_reply* reply = nullptr;
    done_function done;
    time_point deadline{};
    time_point next_try{};
  };

  void apply(const proto::apply_request& request, proto::apply_reply& reply,
             done_function done) override;
  void get(const proto::get_request& request, proto::get_reply& reply,
           done_function done) override;
  void status(const proto::status_request& request, proto::status_reply& reply,
              done_function done) override;
  void tasks(const proto::tasks_request& request, proto::tasks_reply& reply,
             done_function done) override;

  bool finished(pending_change& it);
  void propose(pending_change& it);
  void review();
  /// Data centres that the request evacuates and no box stands in.
  std::vector<std::string> unknown_data_centres(
      const proto::apply_request& request) const;
  void fill_difference(const proto::apply_request& request,
                       proto::apply_reply& reply) const;
  proto::box_status status_of(const box_entry& box) const;

  process_context& context_;
  record_service* record_ = nullptr;
  holder_service* holder_ = nullptr;
  std::list<pending_change> pending_;
  std::unique_ptr<operator_server> calls_;
  std::unique_ptr<grpc::Server> server_;
  repeating_timer review_timer_;
};

}  // namespace kestrelreel

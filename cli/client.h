// Calls to the boxes' operator interface, one address after the other until
// one answers.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "base/clock.h"
#include "proto/operator.grpc.pb.h"

namespace kestrelreel {

/// A client of the cluster.
class operator_client {
 public:
  /// `addresses`: `IP:PORT` of some boxes' operator interfaces.
  operator_client(std::vector<std::string> addresses, milliseconds timeout);

  /// Each asks the boxes in turn. `Unavailable` when none can be reached,
  /// `DeadlineExceeded` when one did not answer in time. A change that a box
  /// may have read before another one failed or refused is `DeadlineExceeded`
  /// too: it may have been accepted.
  absl::StatusOr<proto::apply_reply> apply(proto::apply_request request);
  absl::StatusOr<proto::get_reply> get();
  absl::StatusOr<proto::status_reply> status();
  /// Status of every box that can be reached.
  std::vector<proto::status_reply> all_statuses();
  /// Tasks of each data centre whose holder can be reached.
  absl::StatusOr<std::vector<proto::tasks_reply>> tasks();

 private:
  template <typename Request, typename Reply>
  using method = grpc::Status (proto::operator_api::Stub::*)(
      grpc::ClientContext*, const Request&, Reply*);

  template <typename Request, typename Reply>
  absl::StatusOr<Reply> call(const std::string& address, const Request& request,
                             method<Request, Reply> it,
                             bool* reached = nullptr);
  template <typename Request, typename Reply>
  absl::StatusOr<Reply> call_any(const Request& request,
                                 method<Request, Reply> it,
                                 bool* unclear = nullptr);

  std::vector<std::string> addresses_;
  milliseconds timeout_;
};

}  // namespace kestrelreel

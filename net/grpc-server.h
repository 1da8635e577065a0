// Starting and stopping gRPC servers the same way everywhere.
#pragma once

#include <grpcpp/grpcpp.h>

#include <memory>
#include <string>

#include "absl/status/statusor.h"

namespace kestrelreel {

/// A server for `calls` on an `IP:PORT`; `AlreadyExists` when it is taken. All
/// connections of the servers of a quota hold about as much memory as that.
absl::StatusOr<std::unique_ptr<grpc::Server>> start_grpc_server(
    const std::string& address, grpc::Service& calls,
    const grpc::ResourceQuota& quota = {});
/// Stops a server; calls under way get a moment to end.
void stop_grpc_server(grpc::Server& server);

}  // namespace kestrelreel

// Starting and stopping gRPC servers the same way everywhere.
#pragma once

#include <grpcpp/grpcpp.h>

#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "base/units.h"

namespace kestrelreel {

/// A server for `calls` on an `IP:PORT`; `AlreadyExists` when it is taken. All
/// of its connections hold about so much memory.
absl::StatusOr<std::unique_ptr<grpc::Server>> start_grpc_server(
    const std::string& address, grpc::Service& calls,
    byte_count memory = {64 << 20});
/// Stops a server; calls under way get a moment to end.
void stop_grpc_server(grpc::Server& server);

}  // namespace kestrelreel

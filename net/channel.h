// How all gRPC channels of the system are set up.
#pragma once

#include <grpcpp/grpcpp.h>

#include <memory>
#include <string>

namespace kestrelreel {

/// A channel that tries a lost connection again within a second. Connections
/// are made on the first call.
std::shared_ptr<grpc::Channel> make_channel(const std::string& address);

}  // namespace kestrelreel

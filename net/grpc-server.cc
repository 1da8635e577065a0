#include "net/grpc-server.h"

#include <chrono>

#include "base/text.h"
#include "net/peer-transport.h"

namespace kestrelreel {

absl::StatusOr<std::unique_ptr<grpc::Server>> start_grpc_server(
    const std::string& address, grpc::Service& calls,
    const grpc::ResourceQuota& quota) {
  grpc::ServerBuilder builder;
  int port = 0;
  builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &port);
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  builder.SetMaxReceiveMessageSize(max_message_bytes);
  builder.SetResourceQuota(quota);
  builder.RegisterService(&calls);
  std::unique_ptr<grpc::Server> server = builder.BuildAndStart();
  if (!server || port == 0) {
    return absl::AlreadyExistsError(str_cat("cannot listen on ", address));
  }
  return server;
}

void stop_grpc_server(grpc::Server& server) {
  constexpr std::chrono::milliseconds grace(200);
  server.Shutdown(std::chrono::system_clock::now() + grace);
}

}  // namespace kestrelreel

#include "net/channel.h"

#include "net/peer-transport.h"

namespace kestrelreel {

std::shared_ptr<grpc::Channel> make_channel(const std::string& address) {
  constexpr int first_retry_ms = 100;
  constexpr int last_retry_ms = 1'000;
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, first_retry_ms);
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, first_retry_ms);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, last_retry_ms);
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  arguments.SetMaxReceiveMessageSize(max_message_bytes);
  return grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(),
                                   arguments);
}

}  // namespace kestrelreel

// The service `network`: messages to and from the other boxes.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "daemon/process-context.h"
#include "kernel/service.h"
#include "net/peer-transport.h"

namespace kestrelreel {

/// Sends messages and hands those that come in to who asked for their kind.
class network_service final : public service {
 public:
  using handler =
      std::function<void(const box_id&, const proto::peer_message&)>;

  explicit network_service(process_context& context) : context_(context) {}
  ~network_service() override;

  std::string_view name() const override { return service_names::network; }
  std::vector<std::string> dependencies() const override { return {}; }
  absl::Status start(service_registry& registry) override;
  void stop() override;

  /// Messages of that kind go to `it`; a kind has one handler.
  void subscribe(proto::peer_message::BodyCase kind, handler it);
  /// Sends to another box, or to this one through the io_context.
  void send(const box_id& to, proto::peer_message m);

 private:
  void receive(const proto::peer_message& m);

  process_context& context_;
  std::map<proto::peer_message::BodyCase, handler> handlers_;
  std::unique_ptr<grpc_peer_transport> transport_;
  std::unique_ptr<peer_server> calls_;
  std::unique_ptr<grpc::Server> server_;
};

}  // namespace kestrelreel

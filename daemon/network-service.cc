#include "daemon/network-service.h"

#include <grpcpp/grpcpp.h>

#include <boost/asio/post.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "net/grpc-server.h"

namespace kestrelreel {

network_service::~network_service() = default;

absl::Status network_service::start(service_registry& /*registry*/) {
  std::map<box_id, std::string> addresses;
  for (const box_settings& it : context_.settings.boxes) {
    addresses[it.id] = it.peer_address;
  }
  transport_ = std::make_unique<grpc_peer_transport>(
      context_.io, context_.settings.box, context_.incarnation, addresses);
  calls_ = std::make_unique<peer_server>(
      context_.io, [this](const proto::peer_message& m) { receive(m); });
  auto server = start_grpc_server(context_.settings.self().peer_address,
                                  *calls_, context_.grpc_memory);
  if (!server.ok()) return server.status();
  server_ = std::move(*server);
  return absl::OkStatus();
}

void network_service::stop() {
  stop_grpc_server(*server_);
  transport_.reset();
}

void network_service::subscribe(proto::peer_message::BodyCase kind,
                                handler it) {
  handlers_[kind] = std::move(it);
}

void network_service::receive(const proto::peer_message& m) {
  const auto it = handlers_.find(m.body_case());
  if (it != handlers_.end()) it->second(box_id(m.from()), m);
}

void network_service::send(const box_id& to, proto::peer_message m) {
  if (!transport_) return;
  if (to != context_.settings.box) return transport_->send(to, std::move(m));
  m.set_from(to.str());
  m.set_incarnation(context_.incarnation);
  boost::asio::post(context_.io, [this, m = std::move(m)] { receive(m); });
}

}  // namespace kestrelreel

#include "net/peer-transport.h"

#include <boost/asio/post.hpp>
#include <chrono>
#include <utility>

#include "net/channel.h"

namespace kestrelreel {
namespace detail {

constexpr std::chrono::seconds call_limit{2};
constexpr int messages_queued = 4'096;

}  // namespace detail

struct grpc_peer_transport::link {
  std::unique_ptr<proto::peer::Stub> stub;
  proto::peer_batch pending;
  bool in_flight = false;
};

grpc_peer_transport::grpc_peer_transport(
    boost::asio::io_context& io, box_id self, uint64_t incarnation,
    const std::map<box_id, std::string>& addresses)
    : io_(io), self_(std::move(self)), incarnation_(incarnation) {
  for (const auto& [box, address] : addresses) {
    if (box == self_) continue;
    auto it = std::make_shared<link>();
    it->stub = proto::peer::NewStub(make_channel(address));
    links_.emplace(box, std::move(it));
  }
}

grpc_peer_transport::~grpc_peer_transport() = default;

void grpc_peer_transport::send(const box_id& to, proto::peer_message m) {
  const auto found = links_.find(to);
  if (found == links_.end()) return;
  const std::shared_ptr<link>& it = found->second;
  if (it->pending.messages_size() >= detail::messages_queued) {
    ++dropped_;
    return;
  }
  m.set_from(self_.str());
  m.set_incarnation(incarnation_);
  *it->pending.add_messages() = std::move(m);
  if (!it->in_flight) flush(it);
}

void grpc_peer_transport::flush(const std::shared_ptr<link>& it) {
  struct call {
    grpc::ClientContext context;
    proto::peer_batch request;
    proto::peer_ack reply;
  };
  auto c = std::make_shared<call>();
  c->request.Swap(&it->pending);
  c->context.set_deadline(std::chrono::system_clock::now() +
                          detail::call_limit);
  it->in_flight = true;
  const auto done =
      [this, it, c, alive = std::weak_ptr(alive_)](const grpc::Status& status) {
        const bool ok = status.ok();
        boost::asio::post(io_, [this, it, c, ok, alive] {
          if (alive.expired()) return;
          it->in_flight = false;
          if (!ok)
            dropped_ += static_cast<uint64_t>(c->request.messages_size());
          if (it->pending.messages_size() > 0) flush(it);
        });
      };
  it->stub->async()->deliver(&c->context, &c->request, &c->reply, done);
}

peer_server::peer_server(boost::asio::io_context& io, handler on_message)
    : io_(io), on_message_(std::move(on_message)) {}

grpc::ServerUnaryReactor* peer_server::deliver(
    grpc::CallbackServerContext* context, const proto::peer_batch* request,
    proto::peer_ack* /*reply*/) {
  auto batch = std::make_shared<proto::peer_batch>(*request);
  boost::asio::post(io_, [this, batch] {
    for (const proto::peer_message& it : batch->messages()) on_message_(it);
  });
  grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
  reactor->Finish(grpc::Status::OK);
  return reactor;
}

}  // namespace kestrelreel

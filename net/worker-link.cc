#include "net/worker-link.h"

#include <boost/asio/post.hpp>
#include <chrono>
#include <utility>

#include "net/channel.h"

namespace kestrelreel {
namespace detail {

constexpr std::chrono::milliseconds sync_limit{1'000};

}  // namespace detail

grpc_worker_link::grpc_worker_link(boost::asio::io_context& io) : io_(io) {}
grpc_worker_link::~grpc_worker_link() = default;

void grpc_worker_link::sync(const std::string& address,
                            const proto::sync_request& request, handler done) {
  struct call {
    grpc::ClientContext context;
    proto::sync_request request;
    proto::sync_reply reply;
    handler done;
  };
  auto& stub = stubs_[address];
  if (!stub) stub = proto::worker_agent::NewStub(make_channel(address));
  auto c = std::make_shared<call>();
  c->request = request;
  c->done = std::move(done);
  c->context.set_deadline(std::chrono::system_clock::now() +
                          detail::sync_limit);
  const auto ended =
      [this, c, alive = std::weak_ptr(alive_)](const grpc::Status& status) {
        const bool ok = status.ok();
        std::string message = status.error_message();
        boost::asio::post(io_, [c, ok, message = std::move(message), alive] {
          if (alive.expired()) return;
          if (ok) return c->done(std::move(c->reply));
          c->done(absl::UnavailableError(message));
        });
      };
  stub->async()->sync(&c->context, &c->request, &c->reply, ended);
}

void grpc_worker_link::retain(const std::map<std::string, bool>& keep) {
  std::erase_if(stubs_,
                [&](const auto& it) { return !keep.contains(it.first); });
}

}  // namespace kestrelreel

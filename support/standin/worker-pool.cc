#include "support/standin/worker-pool.h"

#include <boost/asio/post.hpp>
#include <utility>

#include "base/text.h"

namespace kestrelreel::standin {

worker_pool::worker_pool(boost::asio::io_context& io, clock_source& clock,
                         std::string ip)
    : io_(io), clock_(clock), ip_(std::move(ip)) {}

void worker_pool::add(const std::string& name,
                      const resource_amount& capacity) {
  seeded_random random(0);
  workers_[name] = std::make_unique<agent>(name, str_cat(random.next()),
                                           capacity, clock_, *this);
}

void worker_pool::tick() {
  for (auto& [name, it] : workers_) it->tick();
}

std::string worker_pool::started(const proto::task_order& order) {
  if (order.service().empty()) return "";
  auto& server = servers_[{order.task(), order.attempt()}];
  server = std::make_unique<backend_server>(io_, ip_, order.task());
  return server->address();
}

void worker_pool::ended(const proto::task_order& order) {
  servers_.erase({order.task(), order.attempt()});
}

grpc::ServerUnaryReactor* worker_pool::sync(
    grpc::CallbackServerContext* context, const proto::sync_request* request,
    proto::sync_reply* reply) {
  grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
  boost::asio::post(io_, [this, reactor, request, reply] {
    const auto it = workers_.find(request->worker());
    if (it == workers_.end()) {
      return reactor->Finish({grpc::StatusCode::NOT_FOUND, "no such worker"});
    }
    *reply = it->second->sync(*request);
    if (!it->second->used().fits(it->second->capacity())) ++overfull_;
    reactor->Finish(grpc::Status::OK);
  });
  return reactor;
}

}  // namespace kestrelreel::standin

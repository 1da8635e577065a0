// Stand-in for the platform's workers of one data centre: an agent for each,
// and an HTTP server for each service's replica.
#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>

#include "base/clock.h"
#include "base/units.h"
#include "proto/worker.grpc.pb.h"
#include "support/standin/agent.h"
#include "support/standin/backend-server.h"

namespace kestrelreel::standin {

/// All workers of one process.
class worker_pool final : public proto::worker_agent::CallbackService,
                          public agent_host {
 public:
  worker_pool(boost::asio::io_context& io, clock_source& clock, std::string ip);

  void add(const std::string& name, const resource_amount& capacity);
  /// Ends what is over on all workers.
  void tick();
  std::map<std::string, std::unique_ptr<agent>>& workers() { return workers_; }
  /// How often a worker was given more than it holds.
  uint64_t overfull() const { return overfull_; }

  std::string started(const proto::task_order& order) override;
  void ended(const proto::task_order& order) override;
  grpc::ServerUnaryReactor* sync(grpc::CallbackServerContext* context,
                                 const proto::sync_request* request,
                                 proto::sync_reply* reply) override;

 private:
  boost::asio::io_context& io_;
  clock_source& clock_;
  std::string ip_;
  uint64_t overfull_ = 0;
  // Before the workers, whose ends still use it.
  std::map<std::pair<std::string, uint64_t>, std::unique_ptr<backend_server>>
      servers_;
  std::map<std::string, std::unique_ptr<agent>> workers_;
};

}  // namespace kestrelreel::standin

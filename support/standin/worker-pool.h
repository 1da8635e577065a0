// Stand-in for the platform's workers: agents that run tasks under leases. A
// batch task is a timer; a service's replica is an HTTP server.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/units.h"
#include "proto/worker.grpc.pb.h"
#include "support/standin/backend-server.h"

namespace kestrelreel::standin {

/// A task on a worker.
struct held_task {
  proto::task_order order;
  proto::task_phase phase = proto::task_running;
  time_point lease_end{};
  time_point ends{};
  std::unique_ptr<backend_server> server;
};

/// The agent of one worker.
class worker {
 public:
  worker(boost::asio::io_context& io, clock_source& clock, std::string name,
         resource_amount capacity, std::string ip);

  proto::sync_reply sync(const proto::sync_request& request);
  /// Ends what is over: leases, run times.
  void tick();

  const std::string& name() const { return name_; }
  const resource_amount& capacity() const { return capacity_; }
  /// Tasks that run now, with their attempts.
  const std::map<std::string, held_task>& tasks() const { return tasks_; }
  uint64_t overfull() const { return overfull_; }
  void set_leaving(bool it) { leaving_ = it; }
  bool leaving() const { return leaving_; }

 private:
  void start(const proto::task_order& order, time_point lease_end);
  void report(proto::sync_reply& reply) const;
  resource_amount used() const;

  boost::asio::io_context& io_;
  clock_source& clock_;
  std::string name_;
  resource_amount capacity_;
  std::string ip_;
  std::string incarnation_;
  uint64_t epoch_ = 0;
  std::string holder_;
  uint64_t sequence_ = 0;
  uint64_t overfull_ = 0;
  bool leaving_ = false;
  std::map<std::string, held_task> tasks_;
};

/// The gRPC side of all workers of one process.
class worker_calls final : public proto::worker_agent::CallbackService {
 public:
  worker_calls(boost::asio::io_context& io,
               std::map<std::string, std::unique_ptr<worker>>& workers)
      : io_(io), workers_(workers) {}
  grpc::ServerUnaryReactor* sync(grpc::CallbackServerContext* context,
                                 const proto::sync_request* request,
                                 proto::sync_reply* reply) override;

 private:
  boost::asio::io_context& io_;
  std::map<std::string, std::unique_ptr<worker>>& workers_;
};

}  // namespace kestrelreel::standin

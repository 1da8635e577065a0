// Exchanges between a data-centre holder and the workers' agents.
#pragma once

#include <grpcpp/grpcpp.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "proto/worker.grpc.pb.h"

namespace kestrelreel {

/// Reaches workers by the address that the platform lists.
class worker_link {
 public:
  using handler = std::function<void(absl::StatusOr<proto::sync_reply>)>;
  virtual ~worker_link() = default;
  /// Sends one exchange; `done` is called once, on the caller's thread.
  virtual void sync(const std::string& address,
                    const proto::sync_request& request, handler done) = 0;
  /// Closes the connections to all addresses that are not in `keep`.
  virtual void retain(const std::map<std::string, bool>& keep) = 0;
};

/// Exchanges over gRPC.
class grpc_worker_link final : public worker_link {
 public:
  explicit grpc_worker_link(boost::asio::io_context& io);
  ~grpc_worker_link() override;
  void sync(const std::string& address, const proto::sync_request& request,
            handler done) override;
  void retain(const std::map<std::string, bool>& keep) override;

 private:
  boost::asio::io_context& io_;
  std::map<std::string, std::unique_ptr<proto::worker_agent::Stub>> stubs_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace kestrelreel

// One-way messages between the boxes of a cluster.
#pragma once

#include <grpcpp/grpcpp.h>

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/ids.h"
#include "proto/peer.grpc.pb.h"

namespace kestrelreel {

/// Sends to other boxes. A message may be lost, late or out of order.
class peer_transport {
 public:
  virtual ~peer_transport() = default;
  /// Queues the message; the sender's name and incarnation are filled in.
  virtual void send(const box_id& to, proto::peer_message m) = 0;
};

/// Sends over gRPC: one call at a time to each box, which carries all that has
/// come up since the last one.
class grpc_peer_transport final : public peer_transport {
 public:
  /// `addresses` gives where each box listens; `incarnation` rises with every
  /// start of this box.
  grpc_peer_transport(boost::asio::io_context& io, box_id self,
                      uint64_t incarnation,
                      const std::map<box_id, std::string>& addresses);
  ~grpc_peer_transport() override;

  void send(const box_id& to, proto::peer_message m) override;
  /// Messages given up because a box took too few, or a call failed.
  uint64_t dropped() const { return dropped_; }

 private:
  struct link;
  void flush(const std::shared_ptr<link>& it);

  boost::asio::io_context& io_;
  box_id self_;
  uint64_t incarnation_;
  uint64_t dropped_ = 0;
  std::map<box_id, std::shared_ptr<link>> links_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/// Takes messages of other boxes and hands them to the io_context's thread.
class peer_server final : public proto::peer::CallbackService {
 public:
  using handler = std::function<void(const proto::peer_message&)>;
  peer_server(boost::asio::io_context& io, handler on_message);

  grpc::ServerUnaryReactor* deliver(grpc::CallbackServerContext* context,
                                    const proto::peer_batch* request,
                                    proto::peer_ack* reply) override;

 private:
  boost::asio::io_context& io_;
  handler on_message_;
};

/// Largest message between processes, in bytes.
constexpr int max_message_bytes = 64 << 20;

}  // namespace kestrelreel

// Accepts callers' connections at an entry box and ends them in an orderly way
// when the box stops.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "absl/status/status.h"
#include "routing/caller-session.h"

namespace kestrelreel {

/// Listens on `address`; `AlreadyExists` when it is taken.
absl::StatusOr<boost::asio::ip::tcp::acceptor> listen_on(
    boost::asio::io_context& io, const std::string& address);

/// The callers' side of an entry box.
class entry_server {
 public:
  entry_server(entry_context& context, uint64_t max_connections);

  /// Begins to accept.
  absl::Status start(const std::string& address);
  /// Accepts no more and lets the requests in flight end; connections without
  /// one are closed after `idle_wait`. `drained` is called once all are closed.
  void drain(milliseconds idle_wait, std::function<void()> drained);
  /// The port that it listens on; of use after a start on port 0.
  uint16_t port() const;
  /// Connections open now.
  uint64_t connections() const { return open_; }

 private:
  boost::asio::awaitable<void> accept();
  void accept_waiting();
  void admit(boost::asio::ip::tcp::socket socket);
  /// Closes a connection for a new one; false when none may be closed.
  bool make_room();
  boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);

  entry_context& context_;
  uint64_t max_connections_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer idle_timer_;
  std::set<caller_session*> sessions_;
  // Connections that were accepted, also those whose session is to begin.
  uint64_t open_ = 0;
  std::function<void()> drained_;
};

}  // namespace kestrelreel

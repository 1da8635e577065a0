// One kept connection of a stand-in to a box's HTTP port.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/verb.hpp>
#include <string>

#include "base/clock.h"

namespace kestrelreel::faults {

/// What came back; status 0 when nothing did.
struct http_reply {
  unsigned status = 0;
  /// Why no answer came on a connection that took the whole request, if not for
  /// the time that was over; else empty.
  std::string cut_by;
  std::string body;
  milliseconds retry_after{0};
};

/// What is asked, at which IP:PORT.
struct http_question {
  boost::beast::http::verb method = boost::beast::http::verb::get;
  std::string target;
  std::string body;
};

/// Keeps its connection until it fails or the box ends it; one that the box has
/// ended carries no request.
class http_connection {
 public:
  http_connection(boost::asio::io_context& io, std::string address)
      : io_(io), address_(std::move(address)), stream_(io) {}

  /// Asks and waits for so long; a connection that gave no answer is dropped.
  boost::asio::awaitable<http_reply> ask(http_question question,
                                         milliseconds limit);
  const std::string& address() const { return address_; }

 private:
  boost::asio::awaitable<bool> connect();
  void drop();
  /// The end of the connection has come while none was asked.
  bool is_ended();

  boost::asio::io_context& io_;
  std::string address_;
  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
  bool connected_ = false;
};

}  // namespace kestrelreel::faults

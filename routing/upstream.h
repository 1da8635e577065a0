// Exchanges with backend servers over kept connections, and what each failure
// says of the request's execution.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/verdict.h"

namespace kestrelreel {

/// A request as it goes to a backend server.
using upstream_request =
    boost::beast::http::request<boost::beast::http::string_body>;
/// Reads an answer piece by piece.
using upstream_parser =
    boost::beast::http::response_parser<boost::beast::http::buffer_body>;

/// A connection to a backend server.
struct upstream_connection {
  /// Bounds what the library reads before it takes any of it: an answer's
  /// header, a chunk's line, the trailers.
  static constexpr size_t most_unparsed_bytes = 128 << 10;

  explicit upstream_connection(boost::asio::io_context& io)
      : stream(io), buffer(most_unparsed_bytes) {}
  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer;
};

/// Connections that wait for their next exchange, by address.
class connection_cache {
 public:
  explicit connection_cache(boost::asio::io_context& io) : io_(io) {}

  /// A kept connection that the server has not closed, or null.
  std::unique_ptr<upstream_connection> take(const std::string& address);
  /// Keeps a connection after a whole exchange.
  void keep(const std::string& address,
            std::unique_ptr<upstream_connection> connection);
  /// Closes all that are kept for addresses not in `addresses`.
  void retain(const std::map<std::string, bool>& addresses);
  boost::asio::io_context& io() { return io_; }

 private:
  boost::asio::io_context& io_;
  std::map<std::string, std::vector<std::unique_ptr<upstream_connection>>>
      idle_;
};

/// One exchange. It is either given back whole to the cache or closed; a
/// connection whose exchange was given up on is never used again.
class upstream_exchange {
 public:
  upstream_exchange(connection_cache& cache, std::string address);
  ~upstream_exchange();
  upstream_exchange(const upstream_exchange&) = delete;
  upstream_exchange& operator=(const upstream_exchange&) = delete;

  /// Sends the request and reads the answer's header, within `limit`. On an
  /// error the verdict tells what can be known.
  boost::asio::awaitable<std::optional<request_error>> begin(
      const upstream_request& request, milliseconds limit);

  /// The answer; its header is complete after `begin`.
  upstream_parser& answer() { return *parser_; }
  /// Reads the next piece of the body into `buf`; 0 bytes at the end, an error
  /// when the answer is cut short.
  boost::asio::awaitable<std::optional<request_error>> read(char* buf,
                                                            size_t& size);
  /// The answer was read whole: the connection may be kept.
  void finish();

 private:
  boost::asio::awaitable<std::optional<request_error>> connect(
      milliseconds limit);
  boost::asio::awaitable<std::optional<request_error>> send(
      const upstream_request& request);

  connection_cache& cache_;
  std::string address_;
  std::unique_ptr<upstream_connection> connection_;
  std::unique_ptr<upstream_parser> parser_;
};

}  // namespace kestrelreel

// One caller's connection: reads requests, has them run on backend servers and
// gives each its whole answer or an error with a verdict.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <set>
#include <string>

#include "base/clock.h"
#include "base/units.h"
#include "kernel/metrics.h"
#include "routing/service-router.h"
#include "routing/upstream.h"

namespace kestrelreel {

/// Limits of a caller's connection.
struct session_limits {
  byte_count body{1 << 20};
  milliseconds idle{30'000};
};

/// What all sessions of an entry box share.
struct entry_context {
  boost::asio::io_context& io;
  service_router& router;
  connection_cache& connections;
  clock_source& clock;
  metrics_registry& metrics;
  std::string box;
  session_limits limits;
  /// True once the box is about to stop: answers close their connections.
  bool stopping = false;
};

/// Serves a connection until either side ends it.
class caller_session {
 public:
  caller_session(entry_context& context, boost::asio::ip::tcp::socket socket);
  boost::asio::awaitable<void> run();
  /// Ends the connection if no byte of a request has come since the last one.
  void close_if_idle();

 private:
  /// A request on its way.
  struct exchange {
    upstream_request request;
    request_info info;
    routed_service* service = nullptr;
    std::set<task_id> tried;
    time_point begun{};
    bool keep_alive = true;
  };
  enum class outcome { keep, close };

  using request_parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  boost::asio::awaitable<std::optional<exchange>> read_request();
  boost::asio::awaitable<bool> read_body(request_parser& parser);
  std::optional<request_error> prepare(exchange& it);
  void prepare_upstream(exchange& it);
  boost::asio::awaitable<outcome> serve(exchange& it);
  boost::asio::awaitable<dispatch_event> first_decision(exchange& it);
  boost::asio::awaitable<outcome> try_runners(exchange& it, runner* target);
  std::optional<dispatch_event> next_try(exchange& it,
                                         const request_error& error);
  boost::asio::awaitable<std::optional<request_error>> try_once(exchange& it,
                                                                runner& target,
                                                                bool& answered);
  boost::asio::awaitable<std::optional<request_error>> pass_answer(
      exchange& it, upstream_exchange& upstream);
  boost::asio::awaitable<outcome> send_error(
      exchange& it, const request_error& error,
      std::optional<milliseconds> retry_after);
  boost::asio::awaitable<void> send_fault(const request_error& error);
  milliseconds remaining(const exchange& it) const;
  void count(const exchange& it, std::string_view result);

  entry_context& context_;
  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
  bool idle_ = true;
};

}  // namespace kestrelreel

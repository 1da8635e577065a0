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
#include "net/connection-limit.h"
#include "net/http-head.h"
#include "net/memory-budget.h"
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
  /// What callers' connections hold is counted here.
  memory_budget& memory;
  std::string box;
  session_limits limits;
  /// True once the box is about to stop: answers close their connections.
  bool stopping = false;
};

/// Serves a connection until either side ends it.
class caller_session final : public memory_holder {
 public:
  caller_session(entry_context& context, boost::asio::ip::tcp::socket socket);
  boost::asio::awaitable<void> run();
  /// Ends the connection if no byte of a request has come since the last one.
  void close_if_idle();
  void shed() override;

  /// True when it may be closed for a new connection.
  bool is_evictable(time_point now) const;
  const connection_activity& activity() const { return activity_; }
  /// Bytes of a request have arrived and are not read yet.
  bool has_unread();
  /// Ends the connection without an answer.
  void close();

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

  /// What the peer is waited for.
  enum class stage {
    /// A request, of which no byte has come.
    idle,
    /// The rest of a request.
    reading,
    /// Nothing: its request is under way, or it is written to.
    busy,
    /// To read its refusal and to close.
    lingering,
  };

  boost::asio::awaitable<std::optional<exchange>> read_request();
  boost::asio::awaitable<boost::system::error_code> read_whole();
  boost::asio::awaitable<boost::system::error_code> read_some();
  boost::asio::awaitable<void> send_continue();
  boost::asio::awaitable<void> linger();
  size_t held_bytes();
  boost::asio::awaitable<outcome> answer(exchange& it);
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
  std::optional<http_request_parser> parser_;
  size_t field_bytes_ = 0;
  stage stage_ = stage::idle;
  connection_activity activity_;
  bool shed_ = false;
  bool closed_ = false;
  memory_budget::share share_;
};

}  // namespace kestrelreel

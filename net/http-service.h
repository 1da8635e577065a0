// A small HTTP/1.1 server: whole requests in, whole answers out.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "absl/status/status.h"
#include "base/clock.h"
#include "net/memory-budget.h"

namespace kestrelreel {

/// A whole request.
struct http_call {
  std::string method;
  /// Path and query as sent.
  std::string target;
  std::string host;
  /// Milliseconds that the caller waits, by the header that the server was
  /// told of; 0 when it names none.
  uint64_t deadline_ms = 0;
  /// How long ago the caller may have sent it, as far as the connection tells:
  /// since the connection was accepted for its first request, 0 for later ones.
  milliseconds max_age{0};
  std::string body;
};

/// A whole answer.
struct http_answer {
  unsigned status = 200;
  std::string body;
  std::string content_type = "application/json";
  /// When the caller may come back; 0 names no time.
  milliseconds retry_after{0};
};

/// What one connection may take, and how many there may be.
struct http_limits {
  /// Of the header; of the trailers and of a chunk's line too.
  uint32_t header_bytes = 16'384;
  uint64_t body_bytes = 4 << 20;
  /// For a whole request, from its first byte.
  milliseconds header_timeout{3'000};
  milliseconds idle_timeout{15'000};
  size_t connections = 2'000;
};

/// Listens at one address. Used from the io_context's thread alone.
class http_service {
 public:
  using respond_function = std::function<void(http_answer)>;
  using handler = std::function<void(const http_call&, respond_function)>;

  /// What its connections hold is counted in `memory`, which must outlive it.
  /// `listener` names it in the log and the metrics; `deadline_header` names
  /// the header of `http_call::deadline_ms`.
  http_service(boost::asio::io_context& io, memory_budget& memory,
               std::string listener, handler on_call,
               std::string deadline_header = "");
  ~http_service();

  absl::Status listen(const std::string& address);
  void set_limits(const http_limits& limits) { limits_ = limits; }
  /// From now on connections end after their next answer.
  void drain();
  /// Requests that wait for their answer.
  size_t under_way() const { return under_way_; }
  /// True when no request waits for its answer, is read in part, or has
  /// arrived and is not read yet: a close now cuts off none.
  bool is_quiet();
  /// Ends all connections; tells the log of requests that this cuts off.
  void close();

 private:
  class session;
  void accept();
  void admit(boost::asio::ip::tcp::socket socket);
  /// Closes a connection for a new one; false when none may be closed.
  bool make_room();
  void accept_later(boost::system::error_code cause);
  void note_cut_requests();

  memory_budget& memory_;
  std::string listener_;
  handler on_call_;
  std::string deadline_header_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_timer_;
  http_limits limits_;
  std::set<std::shared_ptr<session>> sessions_;
  bool draining_ = false;
  size_t under_way_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace kestrelreel

// One connection of the HTTP server.
#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <optional>
#include <string>

#include "net/connection-limit.h"
#include "net/http-head.h"
#include "net/http-service.h"

namespace kestrelreel {

/// Takes one request at a time. What it holds of a request is bounded by the
/// server's limits, and counted in its memory budget.
class http_service::session final
    : public std::enable_shared_from_this<session>,
      public memory_holder {
 public:
  session(http_service& owner, boost::asio::ip::tcp::socket socket);

  /// Waits for the next request.
  void wait();
  void close();
  void shed() override;

  /// True when a close cuts off no request that was read in part or whole.
  bool idle() const {
    return stage_ == stage::waiting || stage_ == stage::lingering;
  }
  /// True when all that it waits for is that the peer closes.
  bool is_refused() const { return stage_ == stage::lingering; }
  /// Bytes of a request have arrived and are not read yet.
  bool has_unread() const;
  /// True when it may be closed for a new connection.
  bool is_evictable(time_point now) const;
  const connection_activity& activity() const { return activity_; }
  int handle() { return stream_.socket().native_handle(); }

 private:
  enum class stage {
    /// No byte of a request has come.
    waiting,
    reading,
    /// The handler has the request.
    under_way,
    writing,
    /// Was refused; reads on for a while, so that the peer gets the answer: a
    /// close with unread bytes would reset the connection.
    lingering,
  };
  using response =
      boost::beast::http::response<boost::beast::http::buffer_body>;

  void begin_request();
  void parse();
  void read_some();
  void on_bytes(boost::beast::error_code ec, size_t n);
  void hand_on();
  void refuse(unsigned status, const std::string& reason);
  void write(http_answer answer);
  void write_piece();
  void on_written(boost::beast::error_code ec);
  void linger();
  void discard();
  void finish();
  void end();
  size_t held_bytes();

  http_service& owner_;
  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
  std::optional<http_request_parser> parser_;
  size_t field_bytes_ = 0;
  response response_;
  std::optional<
      boost::beast::http::response_serializer<boost::beast::http::buffer_body>>
      serializer_;
  /// The answer's body, how much of it is written, and the piece that is being
  /// written: what is left can be dropped meanwhile.
  std::string body_;
  size_t written_ = 0;
  std::string piece_;
  stage stage_ = stage::waiting;
  connection_activity activity_;
  bool keep_alive_ = true;
  bool refused_ = false;
  bool shed_ = false;
  memory_budget::share share_;
  time_point accepted_at_;
  bool is_first_ = true;
};

}  // namespace kestrelreel

// How a caller's request is read, and refused when it is none or too large.
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>
#include <vector>

#include "routing/caller-session.h"

namespace kestrelreel {
namespace detail {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
constexpr auto await = boost::asio::as_tuple(boost::asio::use_awaitable);
constexpr uint32_t header_limit = 16 << 10;
constexpr size_t most_at_once = 8'192;
constexpr unsigned http_1_1 = 11;
constexpr int status_too_slow = 408;
constexpr int status_unavailable = 503;
/// How long a refused caller has to read its answer: a close with unread bytes
/// would reset the connection.
constexpr milliseconds linger_time{1'000};
/// When one that was refused for want of memory may come back.
constexpr milliseconds back_after{1'000};

const boost::system::error_code no_memory =
    make_error_code(boost::system::errc::not_enough_memory);

const char* reason_of(unsigned refusal) {
  constexpr unsigned body_too_large = 413;
  constexpr unsigned header_too_large = 431;
  if (refusal == body_too_large) return "body-too-large";
  if (refusal == header_too_large) return "header-too-large";
  return "bad-request";
}

http_limits limits_of(const session_limits& limits) {
  http_limits it;
  it.header_bytes = header_limit;
  it.body_bytes = limits.body.value;
  return it;
}

/// What to tell the caller of a request that was not read whole; nothing when
/// the connection just ended.
std::optional<request_error> fault_of(boost::system::error_code ec,
                                      bool header_done) {
  const boost::system::error_code any = http::error::bad_method;
  if (ec == no_memory) {
    return request_error{verdict::not_run, status_unavailable, "memory-limit"};
  }
  if (ec == boost::beast::error::timeout && header_done) {
    return request_error{verdict::not_run, status_too_slow, "request-too-slow"};
  }
  if (!ec || ec.category() != any.category()) return std::nullopt;
  const unsigned status = refusal_of(ec);
  return request_error{verdict::not_run, static_cast<int>(status),
                       reason_of(status)};
}

}  // namespace detail

void caller_session::close_if_idle() {
  if (stage_ == stage::idle) stream_.cancel();
}

/// Only called while a request is read; the read that is under way keeps its
/// buffer until it is over.
void caller_session::shed() {
  shed_ = true;
  parser_.reset();
  stream_.cancel();
}

bool caller_session::is_evictable(time_point now) const {
  if (closed_ || stage_ == stage::busy) return false;
  return stage_ == stage::lingering || activity_.is_evictable(now);
}

bool caller_session::has_unread() {
  boost::system::error_code ec;
  return stage_ != stage::lingering && stream_.socket().available(ec) > 0;
}

void caller_session::close() {
  closed_ = true;
  stream_.close();
}

boost::asio::awaitable<std::optional<caller_session::exchange>>
caller_session::read_request() {
  stage_ = stage::idle;
  field_bytes_ = 0;
  parser_.emplace();
  limit_request(*parser_, detail::limits_of(context_.limits));
  stream_.expires_after(context_.limits.idle);
  const boost::system::error_code ec = co_await read_whole();
  stage_ = stage::busy;
  share_.pin();
  if (const auto fault = detail::fault_of(ec, field_bytes_ > 0)) {
    parser_.reset();
    co_await send_fault(*fault);
  }
  if (ec) co_return std::nullopt;
  exchange it;
  it.request = parser_->release();
  it.keep_alive = it.request.keep_alive();
  parser_.reset();
  co_return it;
}

size_t caller_session::held_bytes() {
  return buffer_.capacity() + field_bytes_ + parser_->get().body().capacity();
}

boost::asio::awaitable<boost::system::error_code> caller_session::read_whole() {
  share_.unpin();
  const http_limits limits = detail::limits_of(context_.limits);
  for (;;) {
    const auto ec = parse_request(*parser_, buffer_, limits);
    const bool in_body = parser_->is_header_done() && field_bytes_ == 0;
    if (in_body) field_bytes_ = field_bytes(*parser_);
    if (ec != detail::http::error::need_more) co_return ec;
    if (in_body) co_await send_continue();
    if (std::exchange(shed_, false)) co_return detail::no_memory;
    if (!share_.resize(held_bytes())) co_return detail::no_memory;
    if (const auto read_ec = co_await read_some()) co_return read_ec;
  }
}

boost::asio::awaitable<boost::system::error_code> caller_session::read_some() {
  if (buffer_.size() > 0 || field_bytes_ > 0) stage_ = stage::reading;
  const auto [ec, n] = co_await stream_.async_read_some(
      buffer_.prepare(detail::most_at_once), detail::await);
  if (std::exchange(shed_, false)) co_return detail::no_memory;
  if (ec) co_return ec;
  buffer_.commit(n);
  activity_.progress_at = context_.clock.now();
  stage_ = stage::reading;
  co_return ec;
}

/// The body has its own time; a caller that asked whether to send it is told.
boost::asio::awaitable<void> caller_session::send_continue() {
  stage_ = stage::busy;
  if (detail::http::token_list(parser_->get()[detail::http::field::expect])
          .exists("100-continue")) {
    detail::http::response<detail::http::string_body> go_on(
        detail::http::status::continue_, detail::http_1_1);
    co_await detail::http::async_write(stream_, go_on, detail::await);
  }
  stream_.expires_after(context_.limits.idle);
}

/// Answers what is no request; the connection ends with it.
boost::asio::awaitable<void> caller_session::send_fault(
    const request_error& error) {
  share_.release();
  exchange none;
  none.keep_alive = false;
  std::optional<milliseconds> retry_after;
  if (error.status == detail::status_unavailable) {
    retry_after = detail::back_after;
  }
  co_await send_error(none, error, retry_after);
  co_await linger();
}

boost::asio::awaitable<void> caller_session::linger() {
  stage_ = stage::lingering;
  buffer_ = {};
  boost::system::error_code ec;
  stream_.socket().shutdown(detail::tcp::socket::shutdown_send, ec);
  std::vector<char> buf(detail::most_at_once);
  stream_.expires_after(detail::linger_time);
  while (!ec) {
    const auto [read_ec, n] = co_await stream_.async_read_some(
        boost::asio::buffer(buf), detail::await);
    ec = read_ec;
  }
}

}  // namespace kestrelreel

#include "support/faults/http-connection.h"

#include <sys/socket.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <charconv>
#include <utility>

#include "base/text.h"

namespace kestrelreel::faults {
namespace {

namespace http = boost::beast::http;
using boost::asio::redirect_error;
using boost::asio::use_awaitable;
using boost::asio::ip::tcp;

constexpr int64_t ms_per_s = 1'000;

http::request<http::string_body> request_of(const http_question& it,
                                            milliseconds limit) {
  http::request<http::string_body> request(it.method, it.target, 11);
  request.set(http::field::host, "plans.example");
  request.set("X-Kestrelreel-Deadline-Ms", std::to_string(limit.count()));
  request.body() = it.body;
  request.prepare_payload();
  return request;
}

milliseconds retry_after(const http::response<http::string_body>& response) {
  const auto text = response[http::field::retry_after];
  int64_t s = 0;
  std::from_chars(text.data(), text.data() + text.size(), s);
  return milliseconds(s * ms_per_s);
}

}  // namespace

void http_connection::drop() {
  stream_.close();
  connected_ = false;
}

bool http_connection::is_ended() {
  char next = 0;
  const ssize_t n = ::recv(stream_.socket().native_handle(), &next, 1,
                           MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN);
}

boost::asio::awaitable<bool> http_connection::connect() {
  if (connected_ && is_ended()) drop();
  if (connected_) co_return true;
  std::string host;
  uint16_t port = 0;
  if (!split_address(address_, host, port)) co_return false;
  boost::system::error_code ec;
  buffer_.clear();
  co_await stream_.async_connect(
      tcp::endpoint{boost::asio::ip::make_address(host), port},
      redirect_error(use_awaitable, ec));
  connected_ = !ec;
  co_return connected_;
}

boost::asio::awaitable<http_reply> http_connection::ask(http_question question,
                                                        milliseconds limit) {
  http_reply reply;
  stream_.expires_after(limit);
  const auto request = request_of(question, limit);
  if (!co_await connect()) {
    drop();
    co_return reply;
  }
  boost::system::error_code ec;
  http::response<http::string_body> response;
  co_await http::async_write(stream_, request,
                             redirect_error(use_awaitable, ec));
  if (!ec) {
    co_await http::async_read(stream_, buffer_, response,
                              redirect_error(use_awaitable, ec));
    const bool over = ec == boost::beast::error::timeout;
    if (ec && !over) reply.cut_by = ec.message();
  }
  if (ec || !response.keep_alive()) drop();
  if (ec) co_return reply;
  reply.status = response.result_int();
  reply.body = std::move(response.body());
  reply.retry_after = retry_after(response);
  co_return reply;
}

}  // namespace kestrelreel::faults

#include "routing/upstream.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

#include "base/text.h"
#include "routing/headers.h"

namespace kestrelreel {
namespace detail {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
constexpr auto await = boost::asio::as_tuple(boost::asio::use_awaitable);
constexpr size_t kept_per_address = 64;
constexpr milliseconds connect_limit{500};
constexpr int status_bad_gateway = 502;
constexpr int status_timeout = 504;

request_error failed(verdict ran, std::string reason,
                     boost::system::error_code ec) {
  const bool late = ec == boost::beast::error::timeout;
  return {ran, late ? status_timeout : status_bad_gateway,
          late ? "deadline" : std::move(reason)};
}

/// True when the server has neither closed nor sent anything unasked.
bool is_quiet(tcp::socket& socket) {
  boost::system::error_code ec;
  socket.non_blocking(true, ec);
  char c = 0;
  socket.receive(boost::asio::buffer(&c, 1), tcp::socket::message_peek, ec);
  return ec == boost::asio::error::would_block;
}

}  // namespace detail

std::unique_ptr<upstream_connection> connection_cache::take(
    const std::string& address) {
  const auto it = idle_.find(address);
  if (it == idle_.end()) return nullptr;
  while (!it->second.empty()) {
    auto connection = std::move(it->second.back());
    it->second.pop_back();
    if (detail::is_quiet(connection->stream.socket())) return connection;
  }
  return nullptr;
}

void connection_cache::keep(const std::string& address,
                            std::unique_ptr<upstream_connection> connection) {
  auto& list = idle_[address];
  if (list.size() >= detail::kept_per_address) return;
  list.push_back(std::move(connection));
}

void connection_cache::retain(const std::map<std::string, bool>& addresses) {
  std::erase_if(idle_,
                [&](const auto& it) { return !addresses.contains(it.first); });
}

upstream_exchange::upstream_exchange(connection_cache& cache,
                                     std::string address)
    : cache_(cache), address_(std::move(address)) {}

upstream_exchange::~upstream_exchange() = default;

boost::asio::awaitable<std::optional<request_error>> upstream_exchange::connect(
    milliseconds limit) {
  connection_ = cache_.take(address_);
  if (connection_) co_return std::nullopt;
  connection_ = std::make_unique<upstream_connection>(cache_.io());
  std::string host;
  uint16_t port = 0;
  split_address(address_, host, port);
  boost::system::error_code bad;
  const auto number = boost::asio::ip::make_address(host, bad);
  if (bad) {
    co_return request_error{verdict::not_run, detail::status_bad_gateway,
                            "bad-runner-address"};
  }
  connection_->stream.expires_after(std::min(limit, detail::connect_limit));
  const auto [ec] = co_await connection_->stream.async_connect(
      detail::tcp::endpoint(number, port), detail::await);
  if (ec) {
    co_return detail::failed(verdict::not_run, "connect-failed", ec);
  }
  boost::system::error_code ignored;
  connection_->stream.socket().set_option(detail::tcp::no_delay(true), ignored);
  co_return std::nullopt;
}

boost::asio::awaitable<std::optional<request_error>> upstream_exchange::send(
    const upstream_request& request) {
  // A write that fails may have passed on any part of the request before.
  const auto [ec, n] = co_await detail::http::async_write(
      connection_->stream, request, detail::await);
  if (!ec) co_return std::nullopt;
  co_return detail::failed(verdict::may_have_run, "send-failed", ec);
}

boost::asio::awaitable<std::optional<request_error>> upstream_exchange::begin(
    const upstream_request& request, milliseconds limit) {
  if (auto error = co_await connect(limit)) co_return error;
  connection_->stream.expires_after(limit);
  if (auto error = co_await send(request)) co_return error;
  parser_ = std::make_unique<upstream_parser>();
  parser_->body_limit(boost::none);
  if (request.method() == detail::http::verb::head) parser_->skip(true);
  const auto [ec, n] = co_await detail::http::async_read_header(
      connection_->stream, connection_->buffer, *parser_, detail::await);
  if (ec) {
    co_return detail::failed(verdict::may_have_run, "no-answer", ec);
  }
  const auto& header = parser_->get();
  const auto name = header.find(request_id_header);
  if (name != header.end() && name->value() != request[request_id_header]) {
    co_return request_error{verdict::may_have_run, detail::status_bad_gateway,
                            "crossed-answer"};
  }
  co_return std::nullopt;
}

boost::asio::awaitable<std::optional<request_error>> upstream_exchange::read(
    char* buf, size_t& size) {
  if (parser_->is_done()) {
    size = 0;
    co_return std::nullopt;
  }
  auto& body = parser_->get().body();
  body.data = buf;
  body.size = size;
  const auto [ec, n] = co_await detail::http::async_read(
      connection_->stream, connection_->buffer, *parser_, detail::await);
  size -= body.size;
  if (!ec || ec == detail::http::error::need_buffer) co_return std::nullopt;
  co_return detail::failed(verdict::may_have_run, "answer-cut-short", ec);
}

void upstream_exchange::finish() {
  const bool reusable = parser_->is_done() && parser_->get().keep_alive();
  if (!reusable) return;
  connection_->stream.expires_never();
  cache_.keep(address_, std::move(connection_));
}

}  // namespace kestrelreel

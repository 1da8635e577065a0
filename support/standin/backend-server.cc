#include "support/standin/backend-server.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <utility>

#include "base/text.h"
#include "base/units.h"
#include "routing/headers.h"

namespace kestrelreel::standin {
namespace detail {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
constexpr auto await = boost::asio::as_tuple(boost::asio::use_awaitable);

/// From test callers: how long the work takes, such as `20ms`.
constexpr std::string_view work_header = "Standin-Work";
/// From test callers: names the request, to count its runs.
constexpr std::string_view key_header = "Idempotency-Key";

}  // namespace detail

backend_counters& counters() {
  static backend_counters it;
  return it;
}

struct backend_server::shared_state {
  explicit shared_state(boost::asio::io_context& context)
      : io(context), acceptor(context) {}
  boost::asio::io_context& io;
  detail::tcp::acceptor acceptor;
  std::string task;
  std::string address;
  uint32_t in_flight = 0;
  uint32_t connections = 0;
  bool open = true;
};

backend_server::backend_server(boost::asio::io_context& io,
                               const std::string& ip, std::string task)
    : state_(std::make_shared<shared_state>(io)) {
  const detail::tcp::endpoint any(boost::asio::ip::make_address(ip), 0);
  state_->acceptor.open(any.protocol());
  state_->acceptor.bind(any);
  state_->acceptor.listen();
  state_->task = std::move(task);
  state_->address = str_cat(ip, ":", state_->acceptor.local_endpoint().port());
  boost::asio::co_spawn(io, accept(state_), boost::asio::detached);
}

backend_server::~backend_server() {
  boost::system::error_code ec;
  state_->open = false;
  state_->acceptor.close(ec);
}

std::string backend_server::address() const { return state_->address; }

boost::asio::awaitable<void> backend_server::accept(
    std::shared_ptr<shared_state> state) {
  while (state->open) {
    auto [ec, socket] = co_await state->acceptor.async_accept(detail::await);
    if (ec) continue;
    boost::asio::co_spawn(state->io, serve(state, std::move(socket)),
                          boost::asio::detached);
  }
}

boost::asio::awaitable<void> backend_server::serve(
    std::shared_ptr<shared_state> state, detail::tcp::socket socket) {
  boost::beast::tcp_stream stream(std::move(socket));
  boost::beast::flat_buffer buf;
  ++state->connections;
  backend_counters& all = counters();
  all.most_connections = std::max(all.most_connections, state->connections);
  while (state->open) {
    detail::http::request<detail::http::string_body> request;
    const auto [ec, n] =
        co_await detail::http::async_read(stream, buf, request, detail::await);
    if (ec || !state->open) break;
    ++state->in_flight;
    ++all.requests;
    all.most_in_flight = std::max(all.most_in_flight, state->in_flight);
    const std::string key(request[detail::key_header]);
    if (!key.empty()) ++all.runs_by_key[key];
    const auto work =
        parse_duration(std::string_view(request[detail::work_header]));
    if (work) {
      boost::asio::steady_timer timer(state->io);
      timer.expires_after(*work);
      co_await timer.async_wait(detail::await);
    }
    detail::http::response<detail::http::string_body> reply(
        detail::http::status::ok, 11);
    reply.set(request_id_header, request[request_id_header]);
    reply.set("Standin-Task", state->task);
    reply.keep_alive(request.keep_alive());
    reply.body() = str_cat("answer to ", std::string(request.target()), ": ",
                           request.body());
    reply.prepare_payload();
    const auto [write_ec, m] =
        co_await detail::http::async_write(stream, reply, detail::await);
    --state->in_flight;
    if (write_ec) break;
  }
  --state->connections;
}

}  // namespace kestrelreel::standin

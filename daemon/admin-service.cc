#include "daemon/admin-service.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <utility>

#include "routing/entry-server.h"

namespace kestrelreel {
namespace detail {

namespace http = boost::beast::http;
constexpr auto await = boost::asio::as_tuple(boost::asio::use_awaitable);
constexpr milliseconds call_limit{5'000};
constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_unavailable = 503;

}  // namespace detail

admin_service::admin_service(process_context& context)
    : context_(context), acceptor_(context.io) {}

absl::Status admin_service::start(service_registry& registry) {
  entry_ = registry.find<entry_service>(service_names::entry);
  auto acceptor = listen_on(context_.io, context_.settings.admin_address);
  if (!acceptor.ok()) return acceptor.status();
  acceptor_ = std::move(*acceptor);
  boost::asio::co_spawn(context_.io, accept(), boost::asio::detached);
  return absl::OkStatus();
}

void admin_service::stop() {
  boost::system::error_code ec;
  acceptor_.close(ec);
}

boost::asio::awaitable<void> admin_service::accept() {
  while (acceptor_.is_open()) {
    auto [ec, socket] = co_await acceptor_.async_accept(detail::await);
    if (ec) continue;
    boost::asio::co_spawn(context_.io, serve(std::move(socket)),
                          boost::asio::detached);
  }
}

std::pair<unsigned, std::string> admin_service::answer(
    std::string_view path) const {
  if (path == "/healthz") return {detail::status_ok, "ok\n"};
  if (path == "/metrics") {
    return {detail::status_ok, context_.metrics.text()};
  }
  if (path == "/readyz") {
    if (entry_->ready()) return {detail::status_ok, "ready\n"};
    return {detail::status_unavailable,
            context_.stopping ? "stopping\n" : "catching up\n"};
  }
  return {detail::status_not_found,
          "one of /healthz, /readyz, /metrics is meant\n"};
}

boost::asio::awaitable<void> admin_service::serve(
    boost::asio::ip::tcp::socket socket) {
  boost::beast::tcp_stream stream(std::move(socket));
  boost::beast::flat_buffer buf;
  for (;;) {
    stream.expires_after(detail::call_limit);
    detail::http::request<detail::http::string_body> request;
    const auto [read_ec, n] =
        co_await detail::http::async_read(stream, buf, request, detail::await);
    if (read_ec) co_return;
    auto [status, text] = answer(std::string_view(request.target()));
    detail::http::response<detail::http::string_body> reply(
        static_cast<detail::http::status>(status), 11);
    reply.set(detail::http::field::content_type, "text/plain; version=0.0.4");
    reply.keep_alive(request.keep_alive());
    reply.body() = std::move(text);
    reply.prepare_payload();
    const auto [write_ec, m] =
        co_await detail::http::async_write(stream, reply, detail::await);
    if (write_ec || !reply.keep_alive()) co_return;
  }
}

}  // namespace kestrelreel

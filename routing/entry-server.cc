#include "routing/entry-server.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "base/text.h"
#include "kernel/log.h"

namespace kestrelreel {
namespace detail {

constexpr const char* listener = "callers";
using boost::asio::ip::tcp;
constexpr auto await = boost::asio::as_tuple(boost::asio::use_awaitable);

}  // namespace detail

absl::StatusOr<boost::asio::ip::tcp::acceptor> listen_on(
    boost::asio::io_context& io, const std::string& address) {
  std::string host;
  uint16_t port = 0;
  boost::system::error_code ec;
  split_address(address, host, port);
  const auto number = boost::asio::ip::make_address(host, ec);
  if (ec) {
    return absl::InvalidArgumentError(
        str_cat("'", address, "' is not an IP number and port"));
  }
  detail::tcp::acceptor acceptor(io);
  const detail::tcp::endpoint endpoint(number, port);
  acceptor.open(endpoint.protocol(), ec);
  if (!ec) acceptor.set_option(detail::tcp::acceptor::reuse_address(true), ec);
  if (!ec) acceptor.bind(endpoint, ec);
  if (!ec)
    acceptor.listen(boost::asio::socket_base::max_listen_connections, ec);
  if (ec) {
    return absl::AlreadyExistsError(
        str_cat("cannot listen on ", address, ": ", ec.message()));
  }
  return acceptor;
}

entry_server::entry_server(entry_context& context, uint64_t max_connections)
    : context_(context),
      max_connections_(max_connections),
      acceptor_(context.io),
      idle_timer_(context.io) {}

absl::Status entry_server::start(const std::string& address) {
  auto acceptor = listen_on(context_.io, address);
  if (!acceptor.ok()) return acceptor.status();
  acceptor_ = std::move(*acceptor);
  boost::asio::co_spawn(context_.io, accept(), boost::asio::detached);
  return absl::OkStatus();
}

uint16_t entry_server::port() const {
  boost::system::error_code ec;
  return acceptor_.local_endpoint(ec).port();
}

boost::asio::awaitable<void> entry_server::accept() {
  boost::asio::steady_timer pause(context_.io);
  for (;;) {
    auto [ec, socket] = co_await acceptor_.async_accept(detail::await);
    if (!ec) admit(std::move(socket));
    if (!acceptor_.is_open()) co_return;
    if (ec) {
      // Out of file descriptors, say: wait for some to be closed.
      log_event(detail::listener, log_level::warn, "accept-failed")
          .with("error", ec.message());
      if (ec == boost::system::errc::too_many_files_open) make_room();
      pause.expires_after(milliseconds(20));
      co_await pause.async_wait(detail::await);
    }
  }
}

void entry_server::admit(detail::tcp::socket socket) {
  if (open_ >= max_connections_ && !make_room()) {
    return report_refused_connection(context_.metrics, detail::listener, open_);
  }
  boost::system::error_code ignored;
  socket.set_option(detail::tcp::no_delay(true), ignored);
  ++open_;
  boost::asio::co_spawn(context_.io, serve(std::move(socket)),
                        boost::asio::detached);
}

bool entry_server::make_room() {
  const time_point now = context_.clock.now();
  caller_session* found = find_evictable(sessions_, now);
  if (found == nullptr) return false;
  report_evicted_connection(context_.metrics, detail::listener, open_,
                            found->activity(), now);
  found->close();
  return true;
}

/// Takes in the connections that callers have already: a close would reset
/// them, with their requests.
void entry_server::accept_waiting() {
  boost::system::error_code ec;
  acceptor_.non_blocking(true, ec);
  while (!ec) {
    detail::tcp::socket socket(context_.io);
    acceptor_.accept(socket, ec);
    if (!ec) admit(std::move(socket));
  }
}

boost::asio::awaitable<void> entry_server::serve(detail::tcp::socket socket) {
  caller_session session(context_, std::move(socket));
  sessions_.insert(&session);
  co_await session.run();
  sessions_.erase(&session);
  if (--open_ == 0 && drained_) std::exchange(drained_, nullptr)();
}

void entry_server::drain(milliseconds idle_wait,
                         std::function<void()> drained) {
  accept_waiting();
  boost::system::error_code ec;
  acceptor_.close(ec);
  context_.stopping = true;
  drained_ = std::move(drained);
  if (open_ == 0) return std::exchange(drained_, nullptr)();
  idle_timer_.expires_after(idle_wait);
  idle_timer_.async_wait([this](boost::system::error_code stopped) {
    if (stopped) return;
    for (caller_session* it : sessions_) it->close_if_idle();
  });
}

}  // namespace kestrelreel

#include "net/http-service.h"

#include <poll.h>

#include <utility>
#include <vector>

#include "base/text.h"
#include "kernel/log.h"
#include "net/http-session.h"

namespace kestrelreel {
namespace detail {

using boost::asio::ip::tcp;

/// Out of descriptors, say: some are closed meanwhile.
constexpr milliseconds accept_pause{20};

}  // namespace detail

using detail::tcp;

http_service::http_service(boost::asio::io_context& io, memory_budget& memory,
                           std::string listener, handler on_call,
                           std::string deadline_header)
    : memory_(memory),
      listener_(std::move(listener)),
      on_call_(std::move(on_call)),
      deadline_header_(std::move(deadline_header)),
      acceptor_(io),
      accept_timer_(io) {}

http_service::~http_service() { close(); }

absl::Status http_service::listen(const std::string& address) {
  std::string host;
  uint16_t port = 0;
  boost::system::error_code ec;
  if (!split_address(address, host, port)) {
    return absl::InvalidArgumentError(str_cat(address, " is no IP:PORT"));
  }
  const auto ip = boost::asio::ip::make_address(host, ec);
  if (!ec) acceptor_.open(tcp::v4(), ec);
  if (!ec) acceptor_.set_option(tcp::acceptor::reuse_address(true), ec);
  if (!ec) acceptor_.bind({ip, port}, ec);
  if (!ec) {
    acceptor_.listen(boost::asio::socket_base::max_listen_connections, ec);
  }
  if (ec) {
    return absl::UnavailableError(
        str_cat("cannot listen on ", address, ": ", ec.message()));
  }
  accept();
  return absl::OkStatus();
}

void http_service::accept() {
  acceptor_.async_accept([this, alive = std::weak_ptr(alive_)](
                             boost::system::error_code ec, tcp::socket socket) {
    if (alive.expired() || ec == boost::asio::error::operation_aborted) return;
    if (ec) return accept_later(ec);
    admit(std::move(socket));
    accept();
  });
}

void http_service::accept_later(boost::system::error_code cause) {
  log_event("http", log_level::warn, "accept-failed")
      .with("listener", listener_)
      .with("error", cause.message());
  if (cause == boost::system::errc::too_many_files_open) make_room();
  accept_timer_.expires_after(detail::accept_pause);
  accept_timer_.async_wait(
      [this, alive = std::weak_ptr(alive_)](boost::system::error_code ec) {
        if (!ec && !alive.expired()) accept();
      });
}

void http_service::admit(tcp::socket socket) {
  if (sessions_.size() >= limits_.connections && !make_room()) {
    return report_refused_connection(memory_.metrics(), listener_,
                                     sessions_.size());
  }
  boost::system::error_code option;
  socket.set_option(tcp::no_delay(true), option);
  auto it = std::make_shared<session>(*this, std::move(socket));
  sessions_.insert(it);
  it->wait();
}

bool http_service::make_room() {
  const time_point now = memory_.now();
  const auto found = find_evictable(sessions_, now);
  if (!found) return false;
  report_evicted_connection(memory_.metrics(), listener_, sessions_.size(),
                            found->activity(), now);
  found->close();
  sessions_.erase(found);
  return true;
}

void http_service::drain() { draining_ = true; }

bool http_service::is_quiet() {
  if (under_way_ > 0) return false;
  std::vector<pollfd> sockets{{acceptor_.native_handle(), POLLIN, 0}};
  for (const auto& it : sessions_) {
    if (!it->idle()) return false;
    if (!it->is_refused()) sockets.push_back({it->handle(), POLLIN, 0});
  }
  return ::poll(sockets.data(), sockets.size(), 0) == 0;
}

void http_service::note_cut_requests() {
  size_t under_way = 0;
  size_t unread = 0;
  for (const auto& it : sessions_) {
    under_way += it->idle() ? 0 : 1;
    unread += it->has_unread() ? 1 : 0;
  }
  pollfd waiting{acceptor_.native_handle(), POLLIN, 0};
  const bool unaccepted = ::poll(&waiting, 1, 0) > 0;
  if (under_way + unread == 0 && !unaccepted) return;
  boost::system::error_code ec;
  log_event("http", log_level::warn, "requests-cut-off")
      .with("port", acceptor_.local_endpoint(ec).port())
      .with("connections", sessions_.size())
      .with("under-way", under_way)
      .with("unread", unread)
      .with("unaccepted", unaccepted ? "yes" : "no");
}

void http_service::close() {
  if (acceptor_.is_open()) note_cut_requests();
  alive_.reset();
  boost::system::error_code ec;
  acceptor_.close(ec);
  accept_timer_.cancel();
  const auto sessions = std::exchange(sessions_, {});
  for (const auto& it : sessions) it->close();
}

}  // namespace kestrelreel

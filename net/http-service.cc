#include "net/http-service.h"

#include <poll.h>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <utility>
#include <vector>

#include "base/text.h"
#include "kernel/log.h"
#include "net/http-head.h"

namespace kestrelreel {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

constexpr int64_t ms_per_s = 1'000;

}  // namespace

/// One connection; one request at a time.
class http_service::session : public std::enable_shared_from_this<session> {
 public:
  session(http_service& owner, tcp::socket socket)
      : owner_(owner), stream_(std::move(socket)) {}

  void wait() {
    if (buffer_.size() > 0) return read();
    stream_.expires_after(owner_.limits_.idle_timeout);
    read_some([](session& it) { it.read(); });
  }

  void close() {
    beast::error_code ec;
    stream_.socket().close(ec);
  }

  bool idle() const { return !busy_ && buffer_.size() == 0; }
  bool has_unread() const {
    beast::error_code ec;
    return stream_.socket().available(ec) > 0;
  }
  int handle() { return stream_.socket().native_handle(); }

 private:
  static constexpr size_t most_at_once = 8'192;

  void read() {
    parser_.emplace();
    limit_request(*parser_, owner_.limits_);
    stream_.expires_after(owner_.limits_.header_timeout);
    parse();
  }

  void parse() {
    const beast::error_code ec =
        parse_request(*parser_, buffer_, owner_.limits_);
    if (ec != http::error::need_more) return on_read(ec);
    read_some([](session& it) { it.parse(); });
  }

  /// Ends the connection when no more comes.
  void read_some(void (*then)(session&)) {
    stream_.async_read_some(
        buffer_.prepare(most_at_once),
        [self = shared_from_this(), then](beast::error_code ec, size_t n) {
          if (ec) return self->end();
          self->buffer_.commit(n);
          then(*self);
        });
  }

  void on_read(beast::error_code ec) {
    const unsigned refusal = refusal_of(ec);
    if (refusal != 0) return refuse(refusal, ec);
    keep_alive_ = parser_->get().keep_alive();
    const http_call call = take_call(*parser_, owner_.deadline_header_);
    stream_.expires_never();
    busy_ = true;
    ++owner_.under_way_;
    owner_.on_call_(call, [self = shared_from_this(),
                           done = false](const http_answer& answer) mutable {
      if (!std::exchange(done, true)) self->write(answer);
    });
  }

  void refuse(unsigned status, beast::error_code ec) {
    log_event("http", log_level::warn, "request-malformed")
        .with("error", ec.message())
        .with("status", status);
    keep_alive_ = false;
    busy_ = true;
    ++owner_.under_way_;
    http_answer answer;
    answer.status = status;
    write(answer);
  }

  void write(const http_answer& answer) {
    response_ = {};
    response_.version(http_version);
    response_.result(answer.status);
    if (!answer.body.empty()) {
      response_.set(http::field::content_type, answer.content_type);
    }
    if (answer.retry_after.count() > 0) {
      const int64_t s = (answer.retry_after.count() + ms_per_s - 1) / ms_per_s;
      response_.set(http::field::retry_after, std::to_string(s));
    }
    response_.keep_alive(keep_alive_ && !owner_.draining_);
    response_.body() = answer.body;
    response_.prepare_payload();
    stream_.expires_after(owner_.limits_.idle_timeout);
    http::async_write(
        stream_, response_,
        [self = shared_from_this()](beast::error_code ec, size_t) {
          self->busy_ = false;
          --self->owner_.under_way_;
          if (ec || !self->response_.keep_alive()) return self->finish();
          self->wait();
        });
  }

  /// Lets the caller read the answer before the connection goes.
  void finish() {
    beast::error_code ec;
    stream_.socket().shutdown(tcp::socket::shutdown_send, ec);
    end();
  }

  void end() {
    close();
    if (!owner_.alive_) return;
    owner_.sessions_.erase(shared_from_this());
  }

  static constexpr unsigned http_version = 11;

  http_service& owner_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  std::optional<http_request_parser> parser_;
  http::response<http::string_body> response_;
  bool keep_alive_ = true;
  bool busy_ = false;
};

http_service::http_service(boost::asio::io_context& io, handler on_call,
                           std::string deadline_header)
    : on_call_(std::move(on_call)),
      deadline_header_(std::move(deadline_header)),
      acceptor_(io) {}

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
    if (ec) {
      log_event("http", log_level::warn, "accept-failed")
          .with("error", ec.message());
    } else if (sessions_.size() >= limits_.connections) {
      log_event("http", log_level::warn, "connection-refused")
          .with("connections", sessions_.size());
    } else {
      boost::system::error_code option;
      socket.set_option(tcp::no_delay(true), option);
      auto it = std::make_shared<session>(*this, std::move(socket));
      sessions_.insert(it);
      it->wait();
    }
    accept();
  });
}

void http_service::drain() { draining_ = true; }

bool http_service::is_quiet() {
  if (under_way_ > 0) return false;
  std::vector<pollfd> sockets{{acceptor_.native_handle(), POLLIN, 0}};
  for (const auto& it : sessions_) {
    if (!it->idle()) return false;
    sockets.push_back({it->handle(), POLLIN, 0});
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
  const auto sessions = std::exchange(sessions_, {});
  for (const auto& it : sessions) it->close();
}

}  // namespace kestrelreel

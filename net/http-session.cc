#include "net/http-session.h"

#include <algorithm>
#include <utility>

#include "base/text.h"
#include "kernel/log.h"

namespace kestrelreel {
namespace detail {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

constexpr int64_t ms_per_s = 1'000;
constexpr unsigned http_1_1 = 11;
constexpr unsigned status_unavailable = 503;
constexpr size_t most_at_once = 8'192;
/// Of an answer that is written; a larger one goes out in several pieces.
constexpr size_t piece_bytes = 64 << 10;
/// How long a refused peer has to read its answer.
constexpr milliseconds linger_time{1'000};
/// When one that was refused for want of memory may come back.
constexpr milliseconds back_after{1'000};

}  // namespace detail

http_service::session::session(http_service& owner, detail::tcp::socket socket)
    : owner_(owner),
      stream_(std::move(socket)),
      share_(owner.memory_, *this, owner.listener_),
      accepted_at_(owner.memory_.now()) {
  activity_.progress_at = owner.memory_.now();
}

void http_service::session::wait() {
  stage_ = stage::waiting;
  if (buffer_.size() > 0) {
    begin_request();
    return parse();
  }
  if (buffer_.capacity() > memory_budget::uncounted_bytes) buffer_ = {};
  stream_.expires_after(owner_.limits_.idle_timeout);
  read_some();
}

void http_service::session::close() {
  detail::beast::error_code ec;
  stream_.socket().close(ec);
}

/// The read that is under way keeps its buffer until its handler is called; the
/// handler then refuses.
void http_service::session::shed() {
  shed_ = true;
  if (stage_ == stage::writing) {
    free_text(body_);
    return close();
  }
  parser_.reset();
  stream_.cancel();
}

bool http_service::session::has_unread() const {
  if (stage_ == stage::lingering) return false;
  detail::beast::error_code ec;
  return stream_.socket().available(ec) > 0;
}

bool http_service::session::is_evictable(time_point now) const {
  if (stage_ == stage::lingering) return true;
  if (stage_ == stage::under_way) return false;
  return activity_.is_evictable(now);
}

void http_service::session::begin_request() {
  stage_ = stage::reading;
  field_bytes_ = 0;
  parser_.emplace();
  limit_request(*parser_, owner_.limits_);
  stream_.expires_after(owner_.limits_.header_timeout);
}

size_t http_service::session::held_bytes() {
  if (field_bytes_ == 0 && parser_->is_header_done()) {
    field_bytes_ = field_bytes(*parser_);
  }
  return buffer_.capacity() + field_bytes_ + parser_->get().body().capacity();
}

void http_service::session::parse() {
  const detail::beast::error_code ec =
      parse_request(*parser_, buffer_, owner_.limits_);
  const unsigned refusal = refusal_of(ec);
  if (refusal != 0) return refuse(refusal, ec.message());
  if (!share_.resize(held_bytes())) {
    return refuse(detail::status_unavailable, "no memory left");
  }
  if (!ec) return hand_on();
  read_some();
}

/// Ends the connection when no more comes.
void http_service::session::read_some() {
  stream_.async_read_some(
      buffer_.prepare(detail::most_at_once),
      [self = shared_from_this()](detail::beast::error_code ec, size_t n) {
        self->on_bytes(ec, n);
      });
}

void http_service::session::on_bytes(detail::beast::error_code ec, size_t n) {
  if (std::exchange(shed_, false)) {
    return refuse(detail::status_unavailable, "memory needed elsewhere");
  }
  if (ec) return end();
  buffer_.commit(n);
  activity_.progress_at = owner_.memory_.now();
  if (stage_ == stage::waiting) begin_request();
  parse();
}

void http_service::session::hand_on() {
  keep_alive_ = parser_->get().keep_alive();
  http_call call = take_call(*parser_, owner_.deadline_header_);
  if (std::exchange(is_first_, false))
    call.max_age = owner_.memory_.now() - accepted_at_;
  parser_.reset();
  stream_.expires_never();
  stage_ = stage::under_way;
  share_.pin();
  ++owner_.under_way_;
  owner_.on_call_(call, [self = shared_from_this(),
                         done = false](http_answer answer) mutable {
    if (!std::exchange(done, true)) self->write(std::move(answer));
  });
}

void http_service::session::refuse(unsigned status, const std::string& reason) {
  log_event("http", log_level::warn, "request-malformed")
      .with("listener", owner_.listener_)
      .with("error", reason)
      .with("status", status);
  parser_.reset();
  keep_alive_ = false;
  refused_ = true;
  ++owner_.under_way_;
  http_answer answer;
  answer.status = status;
  if (status == detail::status_unavailable) {
    answer.retry_after = detail::back_after;
  }
  write(std::move(answer));
}

void http_service::session::write(http_answer answer) {
  stage_ = stage::writing;
  activity_ = {true, owner_.memory_.now()};
  share_.unpin();
  response_ = {};
  response_.version(detail::http_1_1);
  response_.result(answer.status);
  if (!answer.body.empty()) {
    response_.set(detail::http::field::content_type, answer.content_type);
  }
  if (answer.retry_after.count() > 0) {
    const int64_t s =
        (answer.retry_after.count() + detail::ms_per_s - 1) / detail::ms_per_s;
    response_.set(detail::http::field::retry_after, std::to_string(s));
  }
  response_.keep_alive(keep_alive_ && !owner_.draining_);
  response_.content_length(answer.body.size());
  body_ = std::move(answer.body);
  written_ = 0;
  // A close tells the peer that the answer is not whole.
  if (!share_.resize(body_.size())) {
    --owner_.under_way_;
    return end();
  }
  serializer_.emplace(response_);
  stream_.expires_after(owner_.limits_.idle_timeout);
  write_piece();
}

void http_service::session::write_piece() {
  const size_t n = std::min(detail::piece_bytes, body_.size() - written_);
  piece_.assign(body_, written_, n);
  written_ += n;
  response_.body().data = n > 0 ? piece_.data() : nullptr;
  response_.body().size = n;
  response_.body().more = written_ < body_.size();
  detail::http::async_write(
      stream_, *serializer_,
      [self = shared_from_this()](detail::beast::error_code ec, size_t) {
        self->activity_.progress_at = self->owner_.memory_.now();
        const bool more = ec == detail::http::error::need_buffer;
        if (more && !self->shed_) return self->write_piece();
        self->on_written(ec);
      });
}

void http_service::session::on_written(detail::beast::error_code ec) {
  --owner_.under_way_;
  share_.release();
  free_text(body_);
  if (piece_.capacity() > memory_budget::uncounted_bytes) free_text(piece_);
  if (ec || shed_) return end();
  if (refused_) return linger();
  if (!response_.keep_alive()) return finish();
  wait();
}

void http_service::session::linger() {
  stage_ = stage::lingering;
  detail::beast::error_code ec;
  stream_.socket().shutdown(detail::tcp::socket::shutdown_send, ec);
  buffer_ = {};
  piece_.resize(detail::most_at_once);
  stream_.expires_after(detail::linger_time);
  discard();
}

void http_service::session::discard() {
  stream_.async_read_some(
      boost::asio::buffer(piece_),
      [self = shared_from_this()](detail::beast::error_code ec, size_t) {
        if (ec) return self->end();
        self->discard();
      });
}

/// Lets the caller read the answer before the connection goes.
void http_service::session::finish() {
  detail::beast::error_code ec;
  stream_.socket().shutdown(detail::tcp::socket::shutdown_send, ec);
  end();
}

void http_service::session::end() {
  close();
  if (!owner_.alive_) return;
  owner_.sessions_.erase(shared_from_this());
}

}  // namespace kestrelreel

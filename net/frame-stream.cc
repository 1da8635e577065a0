#include "net/frame-stream.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <cstring>
#include <utility>

#include "kernel/log.h"

namespace kestrelreel {
namespace detail {

constexpr size_t chunk_bytes = 16 << 10;
constexpr size_t prefix_bytes = sizeof(uint32_t);
/// How long sent bytes may stay unacknowledged: a peer behind a silent cut is
/// given up after that.
constexpr unsigned unacknowledged_ms = 2'000;

}  // namespace detail

void frame_stream::set_options() {
  boost::system::error_code ec;
  socket_.set_option(boost::asio::ip::tcp::no_delay(true), ec);
  if (ec) {
    log_event("mesh", log_level::warn, "no-delay-not-set")
        .with("error", ec.message());
  }
  const unsigned limit = detail::unacknowledged_ms;
  if (::setsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
                   &limit, sizeof(limit)) != 0) {
    log_event("mesh", log_level::warn, "user-timeout-not-set")
        .with("errno", errno);
  }
}

void frame_stream::start(frame_handler on_frame, close_handler on_close) {
  on_frame_ = std::move(on_frame);
  on_close_ = std::move(on_close);
  chunk_.resize(detail::chunk_bytes);
  set_options();
  read();
}

void frame_stream::read() {
  socket_.async_read_some(
      boost::asio::buffer(chunk_),
      [self = shared_from_this()](boost::system::error_code ec, size_t n) {
        if (!self->open_) return;
        if (ec) return self->close();
        self->in_.append(self->chunk_.data(), n);
        if (!self->take_frames()) return self->close();
        if (self->open_) self->read();
      });
}

std::optional<size_t> read_frames(
    std::string_view in,
    const std::function<bool(const fleet::fleet_frame&)>& on_frame) {
  size_t at = 0;
  while (in.size() - at >= detail::prefix_bytes) {
    uint32_t n = 0;
    std::memcpy(&n, in.data() + at, sizeof(n));
    if (n > most_frame_bytes) return std::nullopt;
    if (in.size() - at - detail::prefix_bytes < n) break;
    fleet::fleet_frame frame;
    const char* body = in.data() + at + detail::prefix_bytes;
    if (!frame.ParseFromArray(body, static_cast<int>(n))) return std::nullopt;
    at += detail::prefix_bytes + n;
    if (!on_frame(frame)) break;
  }
  return at;
}

/// False on bytes that are no frame.
bool frame_stream::take_frames() {
  // Closing drops the handler, which may be what closes.
  const frame_handler on_frame = on_frame_;
  const auto taken = read_frames(in_, [&](const fleet::fleet_frame& frame) {
    on_frame(frame);
    return open_;
  });
  if (!taken) return false;
  in_.erase(0, *taken);
  return true;
}

void frame_stream::send(const fleet::fleet_frame& frame) {
  if (!open_) return;
  const auto n = static_cast<uint32_t>(frame.ByteSizeLong());
  if (queued_.size() + n > most_queued_bytes) return close();
  queued_.append(reinterpret_cast<const char*>(&n), sizeof(n));
  frame.AppendToString(&queued_);
  if (!write_out_) write();
}

void frame_stream::write() {
  write_out_ = true;
  writing_.swap(queued_);
  queued_.clear();
  boost::asio::async_write(
      socket_, boost::asio::buffer(writing_),
      [self = shared_from_this()](boost::system::error_code ec, size_t) {
        self->write_out_ = false;
        self->writing_.clear();
        if (ec) return self->close();
        if (self->open_ && !self->queued_.empty()) self->write();
      });
}

void frame_stream::close() {
  if (!std::exchange(open_, false)) return;
  boost::system::error_code ec;
  socket_.close(ec);
  if (ec) {
    log_event("mesh", log_level::debug, "close-failed")
        .with("error", ec.message());
  }
  on_frame_ = nullptr;
  const close_handler done = std::move(on_close_);
  on_close_ = nullptr;
  if (done) done();
}

}  // namespace kestrelreel

#include "net/frame-stream.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <cstring>
#include <utility>

#include "base/text.h"
#include "kernel/log.h"

namespace kestrelreel {
namespace detail {

constexpr size_t chunk_bytes = 16 << 10;
constexpr size_t prefix_bytes = sizeof(uint32_t);
/// A buffer that grew beyond that is not kept.
constexpr size_t large_frame_bytes = 1 << 20;
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

void frame_stream::count_in(memory_budget& memory,
                            const std::string& listener) {
  memory_ = &memory;
  activity_.progress_at = memory.now();
  share_ = std::make_unique<memory_budget::share>(memory, *this, listener);
}

/// False when there is no room for what it holds.
bool frame_stream::count() {
  return !share_ || share_->resize(in_.size() + backlog());
}

/// A string that grows by doubling holds up to twice a large frame.
void frame_stream::reserve_frame() {
  if (in_.size() < detail::large_frame_bytes) return;
  uint32_t n = 0;
  std::memcpy(&n, in_.data(), sizeof(n));
  in_.reserve(detail::prefix_bytes + n);
}

bool frame_stream::has_unread() const {
  boost::system::error_code ec;
  return socket_.available(ec) > 0;
}

void frame_stream::shed() {
  free_text(in_);
  free_text(queued_);
  close();
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
        if (self->memory_ != nullptr) {
          self->activity_.progress_at = self->memory_->now();
        }
        self->in_.append(self->chunk_.data(), n);
        if (!self->take_frames() || !self->count()) return self->close();
        self->reserve_frame();
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
    activity_.served = true;
    on_frame(frame);
    return open_;
  });
  if (!taken) return false;
  if (*taken <= in_.size()) in_.erase(0, *taken);
  if (in_.empty() && in_.capacity() > detail::large_frame_bytes) {
    free_text(in_);
  }
  return true;
}

void frame_stream::send(const fleet::fleet_frame& frame) {
  if (!open_) return;
  const auto n = static_cast<uint32_t>(frame.ByteSizeLong());
  if (queued_.size() + n > most_queued_bytes) return close();
  queued_.append(reinterpret_cast<const char*>(&n), sizeof(n));
  frame.AppendToString(&queued_);
  if (!count()) return shed();
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
        if (self->writing_.capacity() > detail::large_frame_bytes) {
          free_text(self->writing_);
        }
        if (!self->count()) return self->close();
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
  if (share_) share_->release();
  on_frame_ = nullptr;
  const close_handler done = std::move(on_close_);
  on_close_ = nullptr;
  if (done) done();
}

}  // namespace kestrelreel

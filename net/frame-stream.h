// A TCP connection between two boxes that carries length-prefixed messages.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "net/connection-limit.h"
#include "net/memory-budget.h"
#include "proto/fleet.pb.h"

namespace kestrelreel {

/// Largest message, in bytes: a snapshot of the largest state.
constexpr uint32_t most_frame_bytes = 64 << 20;
/// Bytes that may wait for a slow peer before the connection is given up.
constexpr size_t most_queued_bytes = 80 << 20;

/// Hands on all whole frames that `in` begins with, for as long as `on_frame`
/// says so, and tells how many bytes they took; none on bytes that are no
/// frame. A frame is its length, of four bytes, and its message.
std::optional<size_t> read_frames(
    std::string_view in,
    const std::function<bool(const fleet::fleet_frame&)>& on_frame);

/// One connection. It lives as long as a read or write is under way, or its
/// owner holds it.
class frame_stream final : public std::enable_shared_from_this<frame_stream>,
                           public memory_holder {
 public:
  using frame_handler = std::function<void(const fleet::fleet_frame&)>;
  using close_handler = std::function<void()>;

  explicit frame_stream(boost::asio::ip::tcp::socket socket)
      : socket_(std::move(socket)) {}

  /// Counts what it holds from now on in `memory`, which must outlive it; it is
  /// closed when there is no room for that.
  void count_in(memory_budget& memory, const std::string& listener);
  /// Begins to read. `on_close` is called once, when the connection is lost.
  void start(frame_handler on_frame, close_handler on_close);
  /// Queues a frame; all that came up while a write was under way goes out
  /// together.
  void send(const fleet::fleet_frame& frame);
  void close();
  void shed() override;
  bool is_open() const { return open_; }
  /// True when it may be closed for a new connection.
  bool is_evictable(time_point now) const {
    return open_ && activity_.is_evictable(now);
  }
  const connection_activity& activity() const { return activity_; }
  /// Bytes of a frame have arrived and are not read yet.
  bool has_unread() const;
  /// Bytes that were sent and that the system has not taken yet.
  size_t backlog() const { return queued_.size() + writing_.size(); }

 private:
  void read();
  bool take_frames();
  bool count();
  void reserve_frame();
  void write();
  void set_options();

  boost::asio::ip::tcp::socket socket_;
  frame_handler on_frame_;
  close_handler on_close_;
  std::string in_;
  std::vector<char> chunk_;
  std::string queued_;
  std::string writing_;
  bool write_out_ = false;
  bool open_ = true;
  connection_activity activity_;
  memory_budget* memory_ = nullptr;
  std::unique_ptr<memory_budget::share> share_;
};

}  // namespace kestrelreel

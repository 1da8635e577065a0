// Progress of one feed subscriber: the acknowledged position, and the messages
// in flight.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "base/clock.h"

namespace kestrelreel {

/// Position of a box: the last applied entry, and the bytes received of a later
/// snapshot.
struct feed_position {
  uint64_t applied = 0;
  uint64_t snapshot_bytes = 0;
  auto operator<=>(const feed_position&) const = default;
};

/// Flow control for one subscriber. The subscriber reports only its received
/// position, so the source tracks the messages in flight.
class feed_progress {
 public:
  /// The position up to which all data was sent.
  const feed_position& sent() const { return sent_; }
  /// True while the window allows another message.
  bool can_send() const;
  /// True when the subscriber should acknowledge at once, before its next
  /// request is due, so that the window opens earlier.
  bool wants_acknowledgement() const;

  /// A message of `bytes` that ends at position `last` was sent.
  void note_sent(const feed_position& last, size_t bytes, time_point now);
  /// Number of the last message sent; the first message is 1.
  uint64_t number() const { return number_; }
  /// The subscriber reports position `at`, with `seen` the number of the last
  /// message that it received (0: unknown). Messages in flight count as lost
  /// when a later message was received without them, or when the subscriber
  /// went back or made no progress for the retry delay, which doubles with each
  /// resend.
  void on_report(const feed_position& at, uint64_t seen, time_point now);

 private:
  struct sent_message {
    uint64_t number;
    feed_position last;
    size_t bytes;
  };
  milliseconds retry_delay() const;
  void advance(const feed_position& at, time_point now);
  void resume_after(const feed_position& at, time_point now);

  feed_position acknowledged_;
  feed_position sent_;
  uint64_t number_ = 0;
  std::deque<sent_message> in_flight_;
  size_t bytes_in_flight_ = 0;
  // Time of the last progress while messages are in flight.
  time_point stalled_since_{};
  std::optional<time_point> resumed_at_;
  unsigned doublings_ = 0;
};

}  // namespace kestrelreel

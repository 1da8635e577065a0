// What a source of entries knows of one subscriber, and what is on its way
// there.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "base/clock.h"

namespace kestrelreel {

/// How far a box is: the last entry, and bytes of a snapshot that follows it.
struct feed_position {
  uint64_t applied = 0;
  uint64_t snapshot_bytes = 0;
  auto operator<=>(const feed_position&) const = default;
};

/// A subscriber tells what it holds, and never what is still on its way to it.
class feed_progress {
 public:
  /// What needs no sending now.
  const feed_position& sent() const { return sent_; }
  /// False while as much is on its way as may be.
  bool can_send() const;
  /// True when the subscriber should tell what it holds before its next ask is
  /// due, so that more may go.
  bool wants_acknowledgement() const;

  /// What goes up to `last` was sent, of so many bytes.
  void note_sent(const feed_position& last, size_t bytes, time_point now);
  /// Number of the last message that was sent, from 1 on.
  uint64_t number() const { return number_; }
  /// It holds all up to `at` after message `seen` came (0: not told). What is
  /// on its way counts as lost when a later message came without it, or the
  /// subscriber has begun anew or not moved on for a time that doubles.
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
  // Since when it has not moved on, though something is on its way.
  time_point stalled_since_{};
  std::optional<time_point> resumed_at_;
  unsigned repeats_ = 0;
};

}  // namespace kestrelreel

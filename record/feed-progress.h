// What a source of entries knows of one subscriber, and what is on its way
// there.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "base/clock.h"

namespace kestrelreel {

/// A subscriber tells what it holds, and never what is still on its way to it.
class feed_progress {
 public:
  /// The last entry that needs no sending now.
  uint64_t sent() const { return sent_; }
  /// False while as much is on its way as may be.
  bool has_room() const;
  /// True when the subscriber should tell what it holds before its next ask is
  /// due, so that more may go.
  bool wants_answer() const;
  /// True when what is on its way may still come and must be remembered.
  bool waits(time_point now) const;

  /// What goes up to `last` was sent, of so many bytes.
  void note_sent(uint64_t last, size_t bytes, time_point now);
  /// It holds all up to `applied`. What is on its way counts as lost when it
  /// has begun anew, or has not moved on for a time that doubles.
  void told(uint64_t applied, time_point now);

 private:
  struct batch {
    uint64_t last;
    size_t bytes;
  };
  milliseconds patience() const;
  void moved_on(uint64_t applied, time_point now);
  void begin_after(uint64_t applied, time_point now);

  uint64_t held_ = 0;
  uint64_t sent_ = 0;
  std::deque<batch> out_;
  size_t bytes_out_ = 0;
  // Since when it has not moved on, though something is on its way.
  time_point since_{};
  std::optional<time_point> begun_;
  unsigned repeats_ = 0;
};

}  // namespace kestrelreel

// Bounds the lines of a log, so that a frequent event can't crowd out a rare
// one.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/clock.h"

namespace kestrelreel {

/// So many lines a second on average, and as many again at once; begins full.
class line_budget {
 public:
  explicit line_budget(uint64_t lines_per_s)
      : lines_per_s_(lines_per_s), credit_(most()) {}
  void refill(time_point now);
  /// True when more than the share `reserved` of its most is left, and a line.
  bool has(double reserved) const;
  void take();

 private:
  uint64_t most() const;

  uint64_t lines_per_s_;
  // Thousandths of a line that may still be written.
  uint64_t credit_;
  time_point last_{};
};

/// Each event has one line a second whatever else is written, and a quarter of
/// the lines at most. The last quarter of what is left over all events is kept
/// for events that have asked for less than 30 % of theirs: what happens rarely
/// is written also while much else is. Not thread-safe.
class log_limiter {
 public:
  explicit log_limiter(uint64_t lines_per_s)
      : lines_per_s_(lines_per_s), all_(lines_per_s) {}
  /// True when a line of that event may be written at that time; counts what
  /// may not. `event` is one of a bounded set of names.
  bool allow(std::string_view event, time_point now);
  /// Once a second at most: `EVENT:COUNT` of what was left out since the last
  /// such text, comma-separated; else empty.
  std::string take_dropped(time_point now);

 private:
  struct event_state {
    line_budget budget;
    bool written = false;
    time_point written_at{};
    uint64_t dropped = 0;
  };

  uint64_t lines_per_s_;
  line_budget all_;
  std::map<std::string, event_state, std::less<>> events_;
  bool any_dropped_ = false;
  time_point dropped_reported_at_{};
};

}  // namespace kestrelreel

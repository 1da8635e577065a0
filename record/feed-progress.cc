#include "record/feed-progress.h"

#include <algorithm>

namespace kestrelreel {
namespace detail {

/// On a link of 200 Mbit/s what else goes to the box waits 10 ms behind it.
constexpr size_t feed_window = 256 << 10;
constexpr milliseconds first_patience{1'000};
constexpr milliseconds most_patience{16'000};
constexpr unsigned most_doublings = 2;
/// The slowest link that is waited for.
constexpr size_t slow_bytes_per_ms = 200;

}  // namespace detail

bool feed_progress::has_room() const {
  return bytes_out_ < detail::feed_window;
}

bool feed_progress::wants_answer() const {
  return bytes_out_ >= detail::feed_window / 2;
}

void feed_progress::note_sent(const feed_position& last, size_t bytes,
                              time_point now) {
  if (out_.empty()) since_ = now;
  sent_ = last;
  out_.push_back({++number_, last, bytes});
  bytes_out_ += bytes;
}

void feed_progress::told(const feed_position& at, uint64_t seen,
                         time_point now) {
  if (!begun_) return begin_after(at, now);
  const bool anew = at < held_;
  if (at > held_) moved_on(at, now);
  if (!anew && out_.empty()) return;
  // A number that was not reached is from an earlier life of this box.
  const bool later_came =
      !out_.empty() && out_.front().number <= seen && seen <= number_;
  if (!anew && later_came) return begin_after(at, now);
  const time_point since = anew ? *begun_ : since_;
  if (now - since < patience()) return;
  repeats_ = std::min(repeats_ + 1, detail::most_doublings);
  begin_after(at, now);
}

milliseconds feed_progress::patience() const {
  const auto transfer = milliseconds(bytes_out_ / detail::slow_bytes_per_ms);
  return std::min((detail::first_patience + transfer) * (1 << repeats_),
                  detail::most_patience);
}

void feed_progress::moved_on(const feed_position& at, time_point now) {
  held_ = at;
  sent_ = std::max(sent_, at);
  since_ = now;
  repeats_ = 0;
  while (!out_.empty() && out_.front().last <= at) {
    bytes_out_ -= out_.front().bytes;
    out_.pop_front();
  }
}

void feed_progress::begin_after(const feed_position& at, time_point now) {
  held_ = at;
  sent_ = at;
  out_.clear();
  bytes_out_ = 0;
  since_ = now;
  begun_ = now;
}

}  // namespace kestrelreel

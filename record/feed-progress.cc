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

bool feed_progress::waits(time_point now) const {
  return !out_.empty() && now - since_ < patience();
}

void feed_progress::note_sent(uint64_t last, size_t bytes, time_point now) {
  if (out_.empty()) since_ = now;
  sent_ = last;
  out_.push_back({last, bytes});
  bytes_out_ += bytes;
}

void feed_progress::told(uint64_t applied, time_point now) {
  if (!begun_) return begin_after(applied, now);
  if (applied > held_) return moved_on(applied, now);
  const bool anew = applied < held_;
  if (!anew && out_.empty()) return;
  const time_point since = anew ? *begun_ : since_;
  if (now - since < patience()) return;
  repeats_ = std::min(repeats_ + 1, detail::most_doublings);
  begin_after(applied, now);
}

milliseconds feed_progress::patience() const {
  const auto transfer = milliseconds(bytes_out_ / detail::slow_bytes_per_ms);
  return std::min((detail::first_patience + transfer) * (1 << repeats_),
                  detail::most_patience);
}

void feed_progress::moved_on(uint64_t applied, time_point now) {
  held_ = applied;
  sent_ = std::max(sent_, applied);
  since_ = now;
  repeats_ = 0;
  while (!out_.empty() && out_.front().last <= applied) {
    bytes_out_ -= out_.front().bytes;
    out_.pop_front();
  }
}

void feed_progress::begin_after(uint64_t applied, time_point now) {
  held_ = applied;
  sent_ = applied;
  out_.clear();
  bytes_out_ = 0;
  since_ = now;
  begun_ = now;
}

}  // namespace kestrelreel

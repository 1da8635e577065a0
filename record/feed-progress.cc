#include "record/feed-progress.h"

#include <algorithm>

namespace kestrelreel {
namespace detail {

/// Maximum bytes in flight to one subscriber. On a link of 200 Mbit/s, other
/// messages to the same box wait 10 ms behind the window.
constexpr size_t window_bytes = 256 << 10;
constexpr milliseconds min_retry_delay{1'000};
constexpr milliseconds max_retry_delay{16'000};
constexpr unsigned max_doublings = 2;
/// Slowest link for which the retry delay allows the bytes in flight to arrive.
constexpr size_t min_link_bytes_per_ms = 200;

}  // namespace detail

bool feed_progress::can_send() const {
  return bytes_in_flight_ < detail::window_bytes;
}

bool feed_progress::wants_acknowledgement() const {
  return bytes_in_flight_ >= detail::window_bytes / 2;
}

void feed_progress::note_sent(const feed_position& last, size_t bytes,
                              time_point now) {
  if (in_flight_.empty()) stalled_since_ = now;
  sent_ = last;
  in_flight_.push_back({++number_, last, bytes});
  bytes_in_flight_ += bytes;
}

void feed_progress::on_report(const feed_position& at, uint64_t seen,
                              time_point now) {
  if (!resumed_at_) return resume_after(at, now);
  const bool went_back = at < acknowledged_;
  if (at > acknowledged_) advance(at, now);
  if (!went_back && in_flight_.empty()) return;
  // A number above `number_` is from an earlier incarnation of this box.
  const bool later_arrived = !in_flight_.empty() &&
                             in_flight_.front().number <= seen &&
                             seen <= number_;
  if (!went_back && later_arrived) return resume_after(at, now);
  const time_point since = went_back ? *resumed_at_ : stalled_since_;
  if (now - since < retry_delay()) return;
  doublings_ = std::min(doublings_ + 1, detail::max_doublings);
  resume_after(at, now);
}

milliseconds feed_progress::retry_delay() const {
  const auto transfer =
      milliseconds(bytes_in_flight_ / detail::min_link_bytes_per_ms);
  return std::min((detail::min_retry_delay + transfer) * (1 << doublings_),
                  detail::max_retry_delay);
}

void feed_progress::advance(const feed_position& at, time_point now) {
  acknowledged_ = at;
  sent_ = std::max(sent_, at);
  stalled_since_ = now;
  doublings_ = 0;
  while (!in_flight_.empty() && in_flight_.front().last <= at) {
    bytes_in_flight_ -= in_flight_.front().bytes;
    in_flight_.pop_front();
  }
}

void feed_progress::resume_after(const feed_position& at, time_point now) {
  acknowledged_ = at;
  sent_ = at;
  in_flight_.clear();
  bytes_in_flight_ = 0;
  stalled_since_ = now;
  resumed_at_ = now;
}

}  // namespace kestrelreel

#include "consensus/follower-progress.h"

#include <algorithm>

namespace kestrelreel {
namespace detail {

/// Bounds the retry time, so that a follower that returns after a long absence
/// waits at most 64 times the minimum.
constexpr unsigned max_doublings = 6;

}  // namespace detail

void snapshot_transfer::begin(const snapshot_pointer& it) {
  snapshot_ = it;
  acknowledged_ = sent_ = reported_ = 0;
}

void snapshot_transfer::prepare(const snapshot_pointer& newest,
                                unsigned min_retry_ticks) {
  const bool outdated = snapshot_ != newest;
  if (outdated && acknowledged_ == 0) begin(newest);
  retry_ticks_ = std::max(retry_ticks_, min_retry_ticks);
  if (idle_ticks_ < retry_ticks_) return;
  idle_ticks_ = 0;
  retry_ticks_ =
      std::min(2 * retry_ticks_, min_retry_ticks << detail::max_doublings);
  if (outdated) return begin(newest);
  acknowledged_ = sent_ = reported_;
}

void snapshot_transfer::acknowledge(size_t offset) {
  reported_ = offset;
  if (offset <= acknowledged_) return;
  acknowledged_ = offset;
  sent_ = std::max(sent_, offset);
  idle_ticks_ = 0;
}

void follower_progress::sent(uint64_t n, size_t bytes) {
  next_ += n;
  in_flight_.push_back({next_ - 1, bytes});
  bytes_in_flight_ += bytes;
}

void follower_progress::accepted(uint64_t match) {
  match_ = std::max(match_, match);
  next_ = probing_ ? match_ + 1 : std::max(next_, match_ + 1);
  probing_ = false;
  while (!in_flight_.empty() && in_flight_.front().last <= match_) {
    bytes_in_flight_ -= in_flight_.front().bytes;
    in_flight_.pop_front();
  }
}

bool follower_progress::rejected(uint64_t previous, uint64_t hint) {
  const bool has_index = previous != 0;
  if (has_index && (previous <= match_ || previous >= next_)) return false;
  // Every message that was in flight is rejected separately; only the answer to
  // the current probe counts.
  if (has_index && probing_ && previous != next_ - 1) return false;
  next_ = std::max(match_, std::min(next_ - 1, hint)) + 1;
  probing_ = true;
  in_flight_.clear();
  bytes_in_flight_ = 0;
  return true;
}

}  // namespace kestrelreel

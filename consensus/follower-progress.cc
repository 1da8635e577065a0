#include "consensus/follower-progress.h"

#include <algorithm>

namespace kestrelreel {
namespace detail {

/// A follower that is back after a long time is not kept waiting for longer.
constexpr unsigned most_doublings = 6;

}  // namespace detail

void snapshot_transfer::begin(const snapshot_pointer& it) {
  snapshot_ = it;
  acknowledged_ = sent_ = held_ = 0;
}

void snapshot_transfer::prepare(const snapshot_pointer& newest,
                                unsigned least_ticks) {
  const bool outdated = snapshot_ != newest;
  if (outdated && acknowledged_ == 0) begin(newest);
  patience_ = std::max(patience_, least_ticks);
  if (quiet_ticks_ < patience_) return;
  quiet_ticks_ = 0;
  patience_ = std::min(2 * patience_, least_ticks << detail::most_doublings);
  if (outdated) return begin(newest);
  acknowledged_ = sent_ = held_;
}

void snapshot_transfer::held(size_t offset) {
  held_ = offset;
  if (offset <= acknowledged_) return;
  acknowledged_ = offset;
  sent_ = std::max(sent_, offset);
  quiet_ticks_ = 0;
}

void follower_progress::sent(uint64_t n, size_t bytes) {
  next_ += n;
  out_.push_back({next_ - 1, bytes});
  bytes_out_ += bytes;
}

void follower_progress::accepted(uint64_t match) {
  match_ = std::max(match_, match);
  next_ = probing_ ? match_ + 1 : std::max(next_, match_ + 1);
  probing_ = false;
  while (!out_.empty() && out_.front().last <= match_) {
    bytes_out_ -= out_.front().bytes;
    out_.pop_front();
  }
}

bool follower_progress::refused(uint64_t previous, uint64_t hint) {
  const bool told = previous != 0;
  if (told && (previous <= match_ || previous >= next_)) return false;
  // Each message that was on its way is refused by itself.
  if (told && probing_ && previous != next_ - 1) return false;
  next_ = std::max(match_, std::min(next_ - 1, hint)) + 1;
  probing_ = true;
  out_.clear();
  bytes_out_ = 0;
  return true;
}

}  // namespace kestrelreel

#include "consensus/follower-progress.h"

#include <algorithm>

namespace kestrelreel {

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
  if (told && previous <= match_) return false;
  // Each message that was on its way is refused by itself.
  if (told && probing_ && previous != next_ - 1) return false;
  next_ = std::max(match_, std::min(next_ - 1, hint)) + 1;
  probing_ = true;
  out_.clear();
  bytes_out_ = 0;
  return true;
}

}  // namespace kestrelreel

// Keeps retries to a fraction of the successes, so that a service that fails
// is not buried under them.
#pragma once

#include <algorithm>
#include <cstdint>

namespace kestrelreel {

/// A bucket that successes fill and retries empty.
class retry_budget {
 public:
  /// `percent`: retries for each 100 successes. `burst`: most retries saved up.
  explicit retry_budget(uint64_t percent, uint64_t burst = 10)
      : percent_(percent), most_(burst * per_retry), saved_(most_) {
    if (percent_ == 0) saved_ = 0;
  }

  /// A request succeeded.
  void success() { saved_ = std::min(most_, saved_ + percent_); }
  /// Takes one retry out; false when there is none.
  bool take() {
    if (saved_ < per_retry) return false;
    saved_ -= per_retry;
    return true;
  }

 private:
  static constexpr uint64_t per_retry = 100;
  uint64_t percent_;
  uint64_t most_;
  uint64_t saved_;
};

}  // namespace kestrelreel

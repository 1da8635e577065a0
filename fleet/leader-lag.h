// How late the leader is with what it reads and answers, and how much less
// often it does for that what can wait.
#pragma once

#include <vector>

#include "base/clock.h"

namespace kestrelreel {

/// When a leader counts as behind, and how far it may put off its duties.
struct lag_settings {
  /// A leader that keeps up has read a heartbeat some 30 ms after it was sent;
  /// a worker drops its answer after 1,000 ms. From here on duties that can
  /// wait are done less often, which leaves 850 ms to take effect in.
  milliseconds behind_from{150};
  /// They are done so much less often at most: workers that call each 200 ms
  /// then call each 800 ms, below the least time that shows a life
  /// (`incarnation_proof_time`) and an eighth of a lease.
  unsigned most_stretch_percent = 400;
};

/// Measures the lag and holds the stretch. Pure; to be told of each heartbeat
/// and asked anew each tick.
class leader_lag {
 public:
  explicit leader_lag(lag_settings settings = {}) : settings_(settings) {}

  /// A heartbeat was taken in so long after it was sent.
  void read(milliseconds delay) { delays_.push_back(delay); }
  /// To be called at each tick, which came so long after it was due.
  void tick(milliseconds late);
  /// Forgets all, as a leadership begins.
  void reset() { *this = leader_lag(settings_); }

  /// How late heartbeats and ticks were, up to the last tick.
  milliseconds lag() const { return lag_; }
  /// True until what was put off is done as often as ever.
  bool behind() const { return stretch_percent_ > usual_percent; }
  /// By how much pauses between duties that can wait are longer; 100 for a
  /// leader that keeps up.
  unsigned stretch_percent() const { return stretch_percent_; }
  /// The pause of such a duty.
  template <typename Duration>
  Duration stretched(Duration pause) const {
    return pause * stretch_percent_ / usual_percent;
  }

  static constexpr unsigned usual_percent = 100;

 private:
  milliseconds take_median();

  lag_settings settings_;
  std::vector<milliseconds> delays_;
  milliseconds lag_{0};
  unsigned stretch_percent_ = usual_percent;
};

}  // namespace kestrelreel

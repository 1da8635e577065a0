// Measures how late the leader reads and answers heartbeats, and how much less
// often it performs deferrable duties because of that.
#pragma once

#include <vector>

#include "base/clock.h"

namespace kestrelreel {

/// When a leader counts as lagging, and how far its duties may be deferred.
struct lag_settings {
  /// Lag from which duties are deferred. Without lag a heartbeat is read about
  /// 30 ms after it was sent; a worker drops the answer after 1,000 ms, which
  /// leaves 850 ms for the deferral to take effect.
  milliseconds behind_threshold{150};
  /// Upper bound of the stretch: workers that call every 200 ms then call every
  /// 800 ms, which is the shortest time that proves an incarnation alive
  /// (`incarnation_proof_time`) and less than an eighth of the longest lease.
  unsigned max_stretch_percent = 400;
};

/// Measures the lag and computes the stretch. Has no side effects and no clock;
/// fed with each heartbeat and each tick.
class leader_lag {
 public:
  explicit leader_lag(lag_settings settings = {}) : settings_(settings) {}

  /// Records the delay between sending and reading one heartbeat.
  void record_delay(milliseconds delay) { delays_.push_back(delay); }
  /// Updates lag and stretch; called at each tick, `late` after it was due.
  void tick(milliseconds late);
  /// Discards all measurements; called when a leadership begins.
  void reset() { *this = leader_lag(settings_); }

  /// The lag of heartbeats and ticks, as of the last tick.
  milliseconds lag() const { return lag_; }
  /// True while deferrable duties are performed less often than normal.
  bool behind() const { return stretch_percent_ > normal_percent; }
  /// True while they are deferred as far as they may be.
  bool overloaded() const {
    return stretch_percent_ >= settings_.max_stretch_percent;
  }
  /// The interval of a deferrable duty in percent of its normal interval; 100
  /// for a leader without lag.
  unsigned stretch_percent() const { return stretch_percent_; }
  /// The stretched interval of a duty.
  template <typename Duration>
  Duration stretched(Duration pause) const {
    return pause * stretch_percent_ / normal_percent;
  }

  static constexpr unsigned normal_percent = 100;

 private:
  milliseconds take_median();

  lag_settings settings_;
  std::vector<milliseconds> delays_;
  milliseconds lag_{0};
  unsigned stretch_percent_ = normal_percent;
};

}  // namespace kestrelreel

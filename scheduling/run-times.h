// Estimates of how long tasks run, for load whose declared times are wrong.
#pragma once

#include <algorithm>
#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <string>

#include "base/clock.h"

namespace kestrelreel {

/// The tasks of one step of the jobs of one queue. Their run times are assumed
/// to deviate from the declared ones alike.
struct task_kind {
  std::string queue;
  uint32_t step = 0;
  auto operator<=>(const task_kind&) const = default;
};

/// An expected time, and one that nine of ten do not exceed.
struct time_estimate {
  milliseconds expected{0};
  milliseconds high{0};
  auto operator<=>(const time_estimate&) const = default;
};

/// Bounds estimates and the claims of callers, so that the sum of a long chain
/// of steps is a valid time.
constexpr milliseconds max_run_time = std::chrono::hours(24);

/// Estimates the run time of a task at full pace. Estimates are between 0 and
/// `max_run_time`.
class run_time_source {
 public:
  virtual ~run_time_source() = default;
  /// The declared time is a caller's claim: it may be 0, negative or hours.
  virtual time_estimate run_time(const task_kind& kind,
                                 milliseconds declared) const = 0;
};

/// Takes the declared times, within their bounds.
class declared_run_times final : public run_time_source {
 public:
  time_estimate run_time(const task_kind& /*kind*/,
                         milliseconds declared) const override {
    const milliseconds it = std::clamp(declared, milliseconds(0), max_run_time);
    return {it, it};
  }
};

/// Learns from ended runs. A leader starts without observations, and estimates
/// declared times until it has enough of a kind. A run without a declared time
/// is estimated by how long runs of its kind take. One run changes the ratio by
/// a bounded amount, whatever was declared.
class learned_run_times final : public run_time_source {
 public:
  /// Adds a run that was done. `actual` is its time at full pace.
  void observe(const task_kind& kind, milliseconds declared,
               milliseconds actual);
  time_estimate run_time(const task_kind& kind,
                         milliseconds declared) const override;
  /// Number of runs observed of the kind.
  uint64_t observations(const task_kind& kind) const;
  void clear() { kinds_.clear(); }

 private:
  /// Decaying moments of the logarithm of a positive quantity.
  struct moments {
    double mean = 0;
    double variance = 0;
    // The variance if values below the mean deviated like those above it.
    double upper_variance = 0;
    uint64_t observations = 0;

    void observe(double value);
    /// The estimate in units of `unit_ms`.
    time_estimate estimate(double unit_ms) const;
  };
  struct known_kind {
    // Of the actual time to the declared one, if one was declared.
    moments ratio;
    // Of the actual time in milliseconds.
    moments time;
  };
  std::map<task_kind, known_kind> kinds_;
};

}  // namespace kestrelreel

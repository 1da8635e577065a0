// Estimates of how long tasks run, for load whose declared times are wrong.
#pragma once

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

/// Estimates the run time of a task at full pace.
class run_time_source {
 public:
  virtual ~run_time_source() = default;
  /// The declared time is a caller's claim: it may be 0 or hours.
  virtual time_estimate run_time(const task_kind& kind,
                                 milliseconds declared) const = 0;
};

/// Takes the declared times as they are.
class declared_run_times final : public run_time_source {
 public:
  time_estimate run_time(const task_kind& /*kind*/,
                         milliseconds declared) const override {
    return {declared, declared};
  }
};

/// Learns from ended runs. A leader starts without observations, and estimates
/// declared times until it has enough of a kind.
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
  /// Decaying moments of the logarithm of the actual time's ratio to the
  /// declared one.
  struct ratio {
    double mean = 0;
    double variance = 0;
    uint64_t observations = 0;
  };
  std::map<task_kind, ratio> kinds_;
};

}  // namespace kestrelreel

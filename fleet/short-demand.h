// Estimates the processor demand of short jobs.
#pragma once

#include <cstdint>
#include <map>

#include "base/clock.h"
#include "proto/fleet.pb.h"

namespace kestrelreel {

/// Exponentially decaying average of the processors that short jobs demand, by
/// priority. Depends only on its arguments.
class short_demand {
 public:
  /// Adds an accepted job; its long-running and backfill steps do not count.
  void record_job(const fleet::fleet_job_spec& job, uint32_t priority,
                  time_point now);
  /// Demand of jobs with this priority or a more urgent one, in thousandths of
  /// a core.
  uint64_t cpu_milli(uint32_t priority, time_point now) const;

 private:
  struct level {
    // Thousandths of a core.
    double cpu = 0;
    time_point at{};
  };
  static double decayed(const level& it, time_point now);
  std::map<uint32_t, level> levels_;
};

}  // namespace kestrelreel

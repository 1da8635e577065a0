// Chooses which jobs are served in time when not all can be, for load in which
// the earliest deadline first would make many jobs late by little.
#pragma once

#include <span>
#include <vector>

#include "base/clock.h"

namespace kestrelreel {

/// A job with work that has not begun.
struct due_job {
  /// Processor time of the tasks that do not run yet, in core-seconds.
  double work = 0;
  /// Time that the job still takes if no task waits for capacity.
  milliseconds path{0};
  time_point deadline{};
  /// True for a job that is served even if others are late for it.
  bool must_be_served = false;
};

/// Marks the jobs to be passed over so that as many of the others as possible
/// meet their deadlines on `cores` processors after `work_ahead` core-seconds:
/// by Moore and Hodgson (1968), with the pool taken as one machine that must
/// have done a job's work early enough for the job's path. Marks none when all
/// fit or without processors. All jobs that are not marked meet their
/// deadlines, but for those that must be served and are late with the like of
/// them alone. The most are in time if such late ones are due before all
/// others; else a few more might be. Takes n log n.
std::vector<bool> jobs_to_pass_over(std::span<const due_job> jobs, double cores,
                                    double work_ahead, time_point now);

}  // namespace kestrelreel

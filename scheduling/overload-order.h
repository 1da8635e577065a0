// Chooses which jobs are served in time when not all can be, for load in which
// the earliest deadline first would make many jobs late by little.
#pragma once

#include <span>
#include <vector>

#include "base/clock.h"

namespace kestrelreel {

/// A job that can still meet its deadline.
struct due_job {
  /// Processor time that it still needs, in core-seconds.
  double work = 0;
  time_point deadline{};
  /// False for a job that is served even if others are late for it.
  bool may_be_passed_over = true;
};

/// Marks the jobs to be passed over so that as many of the others as possible
/// meet their deadlines on `cores` processors: by Moore and Hodgson (1968),
/// with the pool taken as one machine. Marks none when all fit. A job that must
/// be served and cannot be in time even alone makes no other give way. Takes n
/// log n.
std::vector<bool> jobs_to_pass_over(std::span<const due_job> jobs, double cores,
                                    time_point now);

}  // namespace kestrelreel

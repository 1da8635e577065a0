// Chooses which jobs are served in time when not all can be, for load in which
// the earliest deadline first would make many jobs late by little.
#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "base/clock.h"

namespace kestrelreel {

/// A pending or running job that can still meet its deadline.
struct due_job {
  /// Processor time that it still needs, in core-seconds.
  double work = 0;
  /// Time that it still needs on idle workers.
  milliseconds path{0};
  time_point deadline{};
  /// Since when it has been passed over; the time of the decision if it is not.
  time_point passed_over_since{};
};

/// Limits of one decision.
struct overload_limits {
  /// Processors that these jobs can use.
  double cores = 0;
  /// A job passed over for this long is not passed over again.
  milliseconds max_passed_over{0};
};

/// Marks the jobs to be passed over so that as many of the others as possible
/// meet their deadlines: by Moore and Hodgson (1968), with the pool taken as
/// one machine. Marks none when all fit. Bounded by n log n.
std::vector<bool> jobs_to_pass_over(std::span<const due_job> jobs,
                                    const overload_limits& limits,
                                    time_point now);

}  // namespace kestrelreel

// How much longer a job may take without missing its objective, from the
// progress of its tasks.
#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "base/clock.h"
#include "scheduling/run-times.h"

namespace kestrelreel {

/// What is left of one step of a job.
struct step_work {
  /// Indices of earlier steps that must be done first.
  std::vector<uint32_t> depends_on;
  /// Time until its last task ends once its dependencies are done; zero for a
  /// step that is done.
  time_estimate remaining;
};

/// Remaining time of a run that has worked for `worked` at full pace since it
/// reported `first_percent` of its work done, and now reports `percent`. Joins
/// the estimate of its kind and its own pace; the weight of its pace grows with
/// what it gained, as a task that has just begun reports mostly its start.
/// Progress beyond 100 counts as 100; a run that gained nothing is estimated by
/// its kind alone.
time_estimate remaining_time(const time_estimate& whole, milliseconds worked,
                             uint32_t percent, uint32_t first_percent = 0);

/// For each step, the time from its end until the last step that depends on it
/// ends. A dependency on a later step is ignored.
std::vector<time_estimate> time_after(std::span<const step_work> steps);

/// Time until the last step ends when no task waits for capacity.
time_estimate critical_path(std::span<const step_work> steps);

/// Time by which a job may be delayed and still end by its deadline with a
/// probability of nine in ten; negative when it is expected to miss it.
milliseconds slack_of(const time_estimate& path, time_point now,
                      time_point deadline);

/// What is left of a job that shares processors with others.
struct due_work {
  double core_seconds = 0;
  /// Time that it needs if no task waits for capacity.
  time_estimate path;
  time_point deadline{};
};

/// Least slack of the jobs that are expected to meet their deadlines by their
/// own paths, if they get `cores` processors in the order of deadlines; the
/// longest time without such jobs. Negative if not all of them can be in time.
milliseconds least_slack(std::vector<due_work> jobs, double cores,
                         time_point now);

}  // namespace kestrelreel

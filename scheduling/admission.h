// Decides whether a job is accepted, and when a rejected caller may return, for
// load that exceeds the capacity for longer than jobs can wait.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/clock.h"
#include "scheduling/run-times.h"

namespace kestrelreel {

/// A job at its submission.
struct job_demand {
  /// Processor time of all its tasks, in core-seconds, a lower estimate.
  double work = 0;
  /// Time that it takes on idle workers.
  time_estimate path;
  /// From its acceptance: an end after this time is of no use to the caller.
  milliseconds useful_for{0};
  /// Processors that it holds for good, if it is long-running.
  double lasting_cores = 0;
};

/// Capacity and queue of a pool as the job finds them.
struct pool_backlog {
  /// Processors that jobs of this kind can use.
  double cores = 0;
  /// Work of live jobs that go before the job, in core-seconds, a lower
  /// estimate.
  double work_ahead = 0;
  /// Processors that no long-running task holds or waits for, and that short
  /// jobs do not need.
  double lasting_cores_free = 0;
};

/// Outcome for one submission.
struct admission_decision {
  bool admitted = true;
  /// When the job is expected to end at the earliest, from now.
  milliseconds expected_end{0};
  /// For a rejected caller.
  milliseconds retry_after{0};
  /// `overload` or `no-capacity`; empty if admitted.
  const char* cause = "";
};

/// Rejects jobs that would end too late even by optimistic estimates. Rejected
/// callers get turns: each is told to return when the work ahead of it,
/// including that of callers rejected before it, is done. Not thread-safe.
class admission_control {
 public:
  /// `pool` names the queue of turns. Accepts everything while `cores` is 0:
  /// the capacity is not known yet.
  admission_decision decide(const std::string& pool, const job_demand& job,
                            const pool_backlog& backlog, time_point now);
  /// Number of rejected callers whose turn is still to come.
  size_t turns(const std::string& pool, time_point now) const;
  void clear() { turns_.clear(); }

 private:
  /// Core-seconds promised to rejected callers, which return as they are
  /// worked off.
  struct promised_work {
    double work = 0;
    size_t callers = 0;
    time_point at{};
  };
  std::map<std::string, promised_work> turns_;
};

}  // namespace kestrelreel

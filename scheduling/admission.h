// Decides whether a job is accepted, and when a rejected caller may return, for
// load that exceeds the capacity for longer than jobs can wait.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "base/clock.h"
#include "base/ids.h"

namespace kestrelreel {

/// A job at its submission.
struct job_demand {
  job_number job;
  /// Backfill jobs and others use different processors; of one kind, the lower
  /// priority goes first.
  bool backfill = false;
  uint32_t priority = 0;
  /// Processor time of all its tasks, in core-seconds, a lower estimate.
  double work = 0;
  /// Time that it takes on idle workers, a lower estimate.
  milliseconds path{0};
  /// Times from its acceptance: by when it should end, and after which an end
  /// is of no use to the caller.
  milliseconds objective{0};
  milliseconds useful_for{0};
  /// The part of `objective` that the queue allows beyond the job's own time.
  milliseconds queue_objective{0};
  /// Processors that it holds for good; 0 for a job that ends.
  double lasting_cores = 0;
};

/// Capacity and queue of a pool as the job finds them.
struct pool_backlog {
  /// False if no worker of the pool is usable: nobody knows what it can do.
  bool known = false;
  /// Processors that jobs of this kind can use at best.
  double cores = 0;
  /// Work of live jobs that go before the job, in core-seconds, a lower
  /// estimate.
  double work_ahead = 0;
  /// Processors of the pool that no accepted long-running job asks for, those
  /// of workers that are not usable for the moment included.
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
/// callers get turns: each is told to return when the work ahead of it, that of
/// callers rejected before it included, is done. A caller in its turn goes
/// before one that comes anew and would end after that turn. Nobody waits for
/// turns that are due later: their callers may never return. Not thread-safe.
class admission_control {
 public:
  /// Accepts everything while the capacity is unknown.
  admission_decision decide(const std::string& pool, const job_demand& job,
                            const pool_backlog& backlog, time_point now);
  /// Drops the turn of a caller that does not want the job any more.
  void forget(job_number job);
  /// Number of rejected callers that are still expected to return.
  size_t expected_callers(const std::string& pool, time_point now);
  void clear() { turns_.clear(); }

 private:
  /// A rejected caller and when it was told to return.
  struct turn {
    job_number job;
    bool backfill = false;
    uint32_t priority = 0;
    double work = 0;
    time_point due{};
  };
  /// In the order in which the callers were rejected first.
  using turns = std::deque<turn>;
  /// Work of turns, in core-seconds.
  struct promised_work {
    double all = 0;
    /// Of turns that are due before a certain time.
    double due = 0;
  };
  /// Drops the callers that did not return in time.
  turns& current_turns(const std::string& pool, time_point now);
  static promised_work promised_before(const turns& all, const job_demand& job,
                                       time_point due);
  static void keep_turn(turns& all, const turn& it);

  std::map<std::string, turns> turns_;
};

}  // namespace kestrelreel

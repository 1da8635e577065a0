// Feeds run times and slack of jobs from the book and the heartbeats.
#pragma once

#include <map>
#include <unordered_map>

#include "base/clock.h"
#include "fleet/job-book.h"
#include "fleet/worker-table.h"
#include "scheduling/job-slack.h"
#include "scheduling/run-times.h"

namespace kestrelreel {

/// Follows the progress of the runs of live jobs. Its state is the leader's: it
/// starts anew with each leadership.
class job_progress {
 public:
  /// Uses declared times unless `learn` is set.
  job_progress(const job_book& book, clock_source& clock, bool learn)
      : book_(book), clock_(clock), learn_(learn) {}

  /// Takes in the rows of a timely heartbeat.
  void observe_rows(const worker_view& it);
  /// Takes in an end, before it is recorded in the book.
  void observe_end(const worker_view& it, const fleet::run_end& end);
  /// Drops all state of a job that is over.
  void forget(job_number job);
  void clear();

  /// Time that the job still needs when no task waits for capacity.
  time_estimate remaining(const job_entry& job) const;
  /// Processor time that the job still needs without its long-running steps, in
  /// core-seconds; expected.
  double remaining_work(const job_entry& job) const;
  /// How long the run may stand still while its job can still end by
  /// `deadline`.
  milliseconds slack(const run_key& run, time_point deadline) const;
  /// Estimate of a whole run of a task of the step at full pace.
  time_estimate run_time(const job_entry& job, uint32_t step) const;
  const run_time_source& run_times() const {
    return learn_ ? static_cast<const run_time_source&>(learned_) : declared_;
  }

  /// Progress of a run since it was listed for the first time.
  struct run_state {
    time_point first_listed{};
    time_point advanced{};
    uint32_t percent = 0;
    /// Time at full pace so far: throttled time counts by its pace.
    milliseconds worked{0};
    time_point observed{};
  };
  /// Null for a run that no heartbeat has listed.
  const run_state* state_of(const run_key& run) const;

 private:
  const job_book& book_;
  clock_source& clock_;
  bool learn_;
  learned_run_times learned_;
  declared_run_times declared_;
  std::map<run_key, run_state> runs_;
};

}  // namespace kestrelreel

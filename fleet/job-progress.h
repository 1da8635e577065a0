// Run times and slack of live jobs, from the book and the heartbeats.
#pragma once

#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "fleet/job-book.h"
#include "fleet/worker-table.h"
#include "scheduling/job-slack.h"
#include "scheduling/run-times.h"

namespace kestrelreel {

/// Follows the progress of live jobs. Its state is the leader's: it starts anew
/// with each leadership.
class job_progress {
 public:
  /// Uses declared times unless `learn` is set.
  job_progress(const job_book& book, worker_table& workers, clock_source& clock,
               bool learn)
      : book_(book), workers_(workers), clock_(clock), learn_(learn) {}

  /// Updates the run states of a worker from its timely heartbeat.
  void observe_rows(worker_view& it) const;
  /// Learns from an end that a timely heartbeat lists, if the run's begin was
  /// seen.
  void observe_end(const worker_view& it, const fleet::run_end& end);
  /// Drops all state of a job that is over.
  void forget(job_number job) { works_.erase(job); }
  /// Drops all that was learned.
  void clear();

  /// Whole work of a job that is not in the book yet.
  struct new_work {
    milliseconds path{0};
    milliseconds objective{0};
    double core_seconds = 0;
  };
  new_work work_of_new(const fleet::fleet_job_spec& spec,
                       const fleet::queue_route& queue) const;
  /// Time that the job still needs if no task waits for capacity. Recomputed a
  /// few times a second.
  time_estimate remaining(job_number job);
  /// Processor time that the job still needs without its long-running tasks, in
  /// core-seconds.
  double remaining_work(job_number job);
  /// The part of it in tasks that do not run.
  double waiting_work(job_number job);
  /// Time from acceptance within which the job should end, by what its steps
  /// take rather than what was declared.
  milliseconds objective(job_number job);
  /// How long the run may stand still while its job can end by `deadline`.
  milliseconds slack(const run_key& run, time_point deadline);
  /// Estimate of a whole run of a task of the step at full pace.
  time_estimate run_time(const job_entry& job, uint32_t step) const;
  const learned_run_times& learned() const { return learned_; }

 private:
  /// What is left of a job, as of `at`.
  struct job_work {
    time_point at{};
    time_estimate path;
    // Of all steps, those that are done included.
    milliseconds whole{0};
    std::vector<time_estimate> after;
    double core_seconds = 0;
    // Of the tasks that do not run.
    double waiting_core_seconds = 0;
  };
  const job_work& work_of(job_number number);
  time_estimate run_time(const task_kind& kind, milliseconds declared) const;
  time_estimate remaining_of(const job_entry& job, const task_key& task,
                             const time_estimate& whole) const;
  step_work step_work_of(const job_entry& job, job_number number, uint32_t step,
                         job_work& out) const;

  const job_book& book_;
  worker_table& workers_;
  clock_source& clock_;
  bool learn_;
  learned_run_times learned_;
  declared_run_times declared_;
  std::unordered_map<job_number, job_work> works_;
};

}  // namespace kestrelreel

// The replicated state of a seeded deployment: the configuration, the jobs and
// every run that may be alive. Equal logs produce equal states.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "absl/status/status.h"
#include "fleet/evacuations.h"
#include "fleet/task-key.h"
#include "proto/fleet.pb.h"

namespace kestrelreel {

/// Recorded phase of a task.
enum class task_phase : uint8_t { waiting = 0, running = 1, done = 2 };

/// Worker crashes that are attributed to a task.
struct crash_record {
  uint32_t crashes = 0;
  /// Sum of the evidence of these crashes; see `crash_evidence_limit`.
  uint32_t evidence = 0;
  /// The last run whose crash was counted. Of the later runs: the last one
  /// whose start was ordered, and the last one that its worker listed.
  run_number run;
  run_number ordered;
  run_number listed;
};

/// One task of one repetition of a step.
struct task_entry {
  task_phase phase = task_phase::waiting;
  run_number run;
  uint32_t failures = 0;
  /// The worker that runs the task, while `running`.
  worker_id worker;
  /// The newest recorded checkpoint; empty without one.
  std::string saved;
  /// Covers all runs since the last one that did not end with a crash of its
  /// worker. A member of a gang answers for the crashes of its own workers
  /// only.
  crash_record crash;
};

/// One repetition of a step.
struct step_entry {
  std::vector<task_entry> tasks;
  uint32_t done = 0;
  uint32_t running = 0;
  /// Failed runs of the whole gang.
  uint32_t gang_failures = 0;
};

/// A submitted job and the state of its steps.
struct job_entry {
  fleet::fleet_job_spec spec;
  /// The queue's settings at submission; a later configuration takes
  /// precedence.
  fleet::queue_route queue;
  fleet::job_phase phase = fleet::job_queued;
  /// True once a task of the job has been started.
  bool begun = false;
  /// Increases with every accepted job.
  uint64_t order = 0;
  /// The steps of each repetition; empty once the job has ended.
  std::vector<std::vector<step_entry>> times;

  bool live() const {
    return phase == fleet::job_queued || phase == fleet::job_running;
  }
};

/// Amount of crash evidence at which a task's job fails: the task is assumed to
/// crash every worker that starts the task.
constexpr uint32_t crash_evidence_limit = 8;

/// The replicated state machine. Only `apply` and `load` change the state.
class job_book {
 public:
  /// An end of a run that was declared lost, after a later run of its task has
  /// started.
  struct late_end {
    run_key run;
    fleet::run_outcome outcome;
    run_number later_run;
    worker_id later_worker;
    /// A successful end completed the task, and the later run is to be stopped;
    /// a failure counts as an attempt.
    bool counted;
  };
  /// A task whose worker crashes made its job fail.
  struct failed_by_crashes {
    task_key task;
    crash_record crash;
  };
  /// Result of applying a command.
  struct result {
    fleet::fleet_status status = fleet::fleet_ok;
    std::string reason;
    std::vector<late_end> late_ends{};
    std::vector<failed_by_crashes> crashing{};
  };

  result apply(const fleet::fleet_command& command);
  /// Serializes the whole state for `load`.
  std::string save() const;
  /// Replaces the whole state. Fails and changes nothing if the bytes are
  /// incomplete or refer to entries that the state does not hold.
  absl::Status load(const std::string& bytes);

  const fleet::fleet_config& config() const { return config_; }
  const std::unordered_map<job_number, job_entry>& jobs() const {
    return jobs_;
  }
  const job_entry* find(job_number job) const;
  /// Jobs that were cancelled before they were submitted. A later submission
  /// ends at once, as the caller was told that the job does not exist.
  const std::set<job_number>& cancelled_early() const {
    return cancelled_early_;
  }
  /// Jobs that have not ended, in the order of submission.
  const std::map<uint64_t, job_number>& live() const { return live_; }
  /// The entry of a task, or null when the job or the task does not exist.
  const task_entry* find(const task_key& key) const;
  const fleet::step_spec* find_step(const task_key& key) const;
  /// The queue settings that apply to a job: those of the configuration, or
  /// those at submission if the queue is no longer configured.
  const fleet::queue_route& queue_of(const job_entry& job) const;

  /// Runs that may be alive on a worker.
  const std::set<run_key>& runs_on(const worker_id& worker) const;
  const std::unordered_map<worker_id, std::set<run_key>>& runs() const {
    return runs_;
  }
  /// Number of the last recorded end of a worker; 0 before any.
  uint64_t last_end(const worker_id& worker) const;
  const std::unordered_map<worker_id, uint64_t>& workers() const {
    return last_ends_;
  }
  /// Workers that left in order and whose ends may still arrive.
  const std::set<worker_id>& left() const { return left_; }
  /// Data centres in which no task may start.
  const evacuations& evacuated() const { return evacuations_; }
  /// Tasks whose worker crashed and of which no later run has been found not to
  /// crash its worker.
  const std::set<task_key>& suspects() const { return suspects_; }
  /// True for a suspect, which is started separately from other tasks.
  bool is_suspect(const task_key& task) const;
  crash_record crash_of(const task_key& task) const;
  /// Runs that were declared lost when their worker fell silent, by worker,
  /// until the worker is heard from again.
  const std::map<worker_id, std::set<run_key>>& lapsed() const {
    return lapsed_;
  }
  /// Places of the worker incarnations that were ever ordered a start and have
  /// not ended.
  const std::map<worker_id, fleet::worker_place>& places() const {
    return places_;
  }

  /// True when all steps that `step` depends on are done in that repetition.
  bool dependencies_done(const job_entry& job, uint32_t time,
                         uint32_t step) const;

 private:
  absl::Status load_state(const fleet::fleet_snapshot& in);
  result apply_batch(const fleet::command_batch& batch);
  result put_config(const fleet::fleet_config& config);
  result submit(const fleet::fleet_job_spec& spec);
  result cancel(const fleet::job_list& jobs);
  result start(const fleet::run_starts& starts);
  result report(const fleet::worker_report& report);
  result declare_lost(const fleet::worker_loss& loss);
  result leave(const fleet::worker_leave& leave);
  result forget(const fleet::job_list& jobs);

  void apply_start(const fleet::run_start& it);
  void report_end(const worker_id& worker, const fleet::run_end& end,
                  result& out);
  void lose_run(const worker_id& worker, const run_key& run,
                const std::string& saved);
  bool close_run(const worker_id& worker, const run_key& run,
                 fleet::run_outcome outcome, const std::string& saved);
  bool counts_late(const run_key& run, fleet::run_outcome outcome,
                   const task_entry& task) const;
  void mark_done(step_entry& step, const task_key& key);
  void count_failure(job_entry& job, step_entry& step, task_entry& task,
                     const fleet::step_spec& spec);
  static void save_gang_checkpoint(step_entry& step, run_number run,
                                   const std::string& saved);
  void clear_crashes(const run_key& run);
  void record_sighting(const fleet::run_sighting& it);
  void count_crash(const run_key& run, uint32_t evidence, result& out);
  void finish(job_entry& job, fleet::job_phase phase);
  void finish_if_done(job_entry& job);
  void put_job(job_entry job);
  task_entry* find_task(const task_key& key);
  fleet::saved_job save_job(const job_entry& job) const;
  absl::Status load_job(const fleet::saved_job& it);

  fleet::fleet_config config_;
  std::map<std::string, size_t> queues_;
  std::unordered_map<job_number, job_entry> jobs_;
  std::map<uint64_t, job_number> live_;
  std::set<job_number> cancelled_early_;
  std::unordered_map<worker_id, std::set<run_key>> runs_;
  std::unordered_map<worker_id, uint64_t> last_ends_;
  std::set<worker_id> left_;
  std::map<worker_id, fleet::worker_place> places_;
  std::map<worker_id, std::set<run_key>> lapsed_;
  // Runs of live jobs that were declared lost and whose end may still be
  // reported. A long-running task is not completed by such an end.
  std::set<run_key> lost_;
  std::set<task_key> suspects_;
  evacuations evacuations_;
  uint64_t next_order_ = 1;
};

/// True when this version supports the command and each command of a batch. A
/// command of a later version can't be skipped, as later commands depend on it.
bool is_supported_command(const fleet::fleet_command& command);

}  // namespace kestrelreel

// The replicated state of a seeded deployment: the configuration, the jobs and
// every run that may be alive. Equal logs give equal books.
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

/// What a task is doing, as far as it was recorded.
enum class task_phase : uint8_t { waiting = 0, running = 1, done = 2 };

/// What the crashes of workers say against a task.
struct crash_record {
  uint32_t crashes = 0;
  uint32_t evidence = 0;
  /// The last run that was counted, and the last one since that was ordered,
  /// and that its worker listed.
  run_number run;
  run_number ordered;
  run_number listed;
};

/// One task of one time of a step.
struct task_entry {
  task_phase phase = task_phase::waiting;
  run_number run;
  uint32_t failures = 0;
  /// Who runs it, while `running`.
  worker_id worker;
  /// The newest checkpoint that was recorded; empty without one.
  std::string saved;
  /// Of all runs since one that did not end with a crash of its worker. A gang
  /// starts and ends as one: its first task keeps the record.
  crash_record crash;
};

/// One time of a step.
struct step_entry {
  std::vector<task_entry> tasks;
  uint32_t done = 0;
  uint32_t running = 0;
  /// Runs of the whole gang that failed.
  uint32_t gang_failures = 0;
};

/// One job.
struct job_entry {
  fleet::fleet_job_spec spec;
  /// The queue as it was when the job came; a later configuration goes first.
  fleet::queue_route queue;
  fleet::job_phase phase = fleet::job_queued;
  /// True once a task of it has been started.
  bool begun = false;
  /// Rises with every job that is accepted.
  uint64_t order = 0;
  /// The steps of each time; empty once the job is over.
  std::vector<std::vector<step_entry>> times;

  bool live() const {
    return phase == fleet::job_queued || phase == fleet::job_running;
  }
};

/// With so much evidence a task is taken to crash each worker that starts it.
constexpr uint32_t crash_evidence_limit = 8;

/// The state. Only `apply` and `load` change it.
class job_book {
 public:
  /// An end that changed nothing, as another run has begun.
  struct uncounted_end {
    run_key run;
    fleet::run_outcome outcome;
    run_number present;
  };
  /// A task that crashed workers and failed its job by that.
  struct given_up {
    task_key task;
    crash_record crash;
  };
  /// What an applied command came to.
  struct result {
    fleet::fleet_status status = fleet::fleet_ok;
    std::string reason;
    std::vector<uncounted_end> uncounted{};
    std::vector<given_up> crashing{};
  };

  result apply(const fleet::fleet_command& command);
  /// The whole state, for `load` elsewhere.
  std::string save() const;
  /// Takes the place of all. Bytes that are no whole state, or name what the
  /// state does not hold, change nothing: part of a state is none.
  absl::Status load(const std::string& bytes);

  const fleet::fleet_config& config() const { return config_; }
  const std::unordered_map<job_number, job_entry>& jobs() const {
    return jobs_;
  }
  const job_entry* find(job_number job) const;
  /// Jobs that were cancelled before any copy of them came: one that comes
  /// later is over at once, as its caller was told that it does not exist.
  const std::set<job_number>& cancelled_early() const {
    return cancelled_early_;
  }
  /// Jobs that are neither over nor refused, in the order of their coming.
  const std::map<uint64_t, job_number>& live() const { return live_; }
  /// The entry of a task, or null when its job or place does not exist.
  const task_entry* find(const task_key& key) const;
  const fleet::step_spec* find_step(const task_key& key) const;
  /// The queue that rules a job: the configuration's, or else the one that it
  /// came by.
  const fleet::queue_route& queue_of(const job_entry& job) const;

  /// Runs that may be alive on a worker.
  const std::set<run_key>& runs_on(const worker_id& worker) const;
  const std::unordered_map<worker_id, std::set<run_key>>& runs() const {
    return runs_;
  }
  /// Number of the last end of a worker that was recorded; 0 before any.
  uint64_t last_end(const worker_id& worker) const;
  const std::unordered_map<worker_id, uint64_t>& workers() const {
    return last_ends_;
  }
  /// Workers that left in order and whose ends may still come.
  const std::set<worker_id>& left() const { return left_; }
  /// Data centres in which nothing is to be started.
  const evacuations& evacuated() const { return evacuations_; }
  /// Tasks, and gangs by their first task, under which a worker crashed, and
  /// that have not worked since.
  const std::set<task_key>& suspects() const { return suspects_; }
  /// True for one of them, or a member of its gang: it is tried apart from
  /// others.
  bool is_suspect(const task_key& task) const;
  /// The task that keeps the record of crashes: a gang's first one.
  task_key record_key(const task_key& task) const;
  /// What is held against the task, or its gang.
  crash_record crash_of(const task_key& task) const;
  /// Runs that were given up on as their worker fell silent, and since which
  /// nothing was heard of it.
  const std::map<worker_id, std::set<run_key>>& lapsed() const {
    return lapsed_;
  }
  /// Where the lives of workers run that ever got a start, unless they are
  /// over.
  const std::map<worker_id, fleet::worker_place>& places() const {
    return places_;
  }

  /// True when all steps that `step` depends on are done in that time.
  bool step_is_due(const job_entry& job, uint32_t time, uint32_t step) const;

 private:
  absl::Status load_whole(const fleet::fleet_snapshot& in);
  result apply_all(const fleet::command_batch& batch);
  result put_config(const fleet::fleet_config& config);
  result submit(const fleet::fleet_job_spec& spec);
  result cancel(const fleet::job_list& jobs);
  result start(const fleet::run_starts& starts);
  result report(const fleet::worker_report& report);
  result lose(const fleet::worker_loss& loss);
  result leave(const fleet::worker_leave& leave);
  result forget(const fleet::job_list& jobs);

  void start_one(const fleet::run_start& it);
  void close(const worker_id& worker, const run_key& run,
             fleet::run_outcome outcome, const std::string& saved);
  static void mark_done(step_entry& step, task_entry& task);
  void count_failure(job_entry& job, step_entry& step, task_entry& task,
                     const fleet::step_spec& spec);
  static void save_gang(step_entry& step, run_number run,
                        const std::string& saved);
  void clear_crashes(const run_key& run);
  void note_sighting(const fleet::run_sighting& it);
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
  std::set<task_key> suspects_;
  evacuations evacuations_;
  uint64_t next_order_ = 1;
};

/// True when this program knows what the command, or each one of a batch, asks
/// for: one of a later version can't be left out, as the next ones build on it.
bool is_known(const fleet::fleet_command& command);

}  // namespace kestrelreel

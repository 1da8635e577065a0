// What callers, workers and the operator saw of a soak, and the promises that
// are checked on it. Pure.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "support/faults/lease-history.h"
#include "support/faults/register-history.h"
#include "support/faults/stop-history.h"

namespace kestrelreel::faults {

/// A job and a task by their names on the wire.
using job_name = strong_name<struct job_name_tag>;
using task_name = strong_name<struct task_name_tag>;

/// What a caller may conclude from one try.
enum class try_outcome {
  taken,
  /// Not taken, and never will be.
  refused,
  /// No answer, or one that says that it may have been.
  unclear,
};

/// What an answer's status says; 0 is no answer.
try_outcome outcome_of(unsigned status);

/// One try of a caller to hand its job in, to cancel it or to read its state.
struct try_record {
  std::string entry;
  time_point sent{};
  time_point ended{};
  unsigned status = 0;
};

/// What a caller was told of its job's state; empty where it was told none.
struct state_record {
  try_record call;
  std::string state;
};

/// From the acknowledgement of a cancel until the last run of the job may be
/// told to begin: the bound of a cancel, in which an answer may be on its way
/// to its worker.
constexpr milliseconds cancel_bound{3'000};
/// A worker that hears nothing ends its runs with its lease, and sees that only
/// after the answer that it waits for.
constexpr milliseconds unheard_stop{4'000};
/// From when a job was taken until every box knows it.
constexpr milliseconds known_within{3'000};

/// A task may crash so many workers, and is started less often than that again
/// after it.
constexpr size_t crash_budget = 3;

/// True for an answer to a cancel by which no run may follow: taken, or no such
/// job.
bool acknowledges_cancel(unsigned status);

/// One run, as its worker saw it.
struct run_record {
  uint32_t run = 0;
  std::string worker;
  /// The box whose answer ordered it.
  std::string ordered_by;
  time_point began{};
  std::optional<time_point> ended;
  bool done = false;
  /// It crashed its worker.
  bool crashed = false;
  /// When its end was told to be known.
  std::optional<time_point> noted;
};

/// All that was seen. Not thread-safe.
class history {
 public:
  /// A caller means to hand in a job of so many tasks.
  void plan_job(const job_name& job, const std::vector<task_name>& tasks);
  void tried(const job_name& job, const try_record& it);
  /// A caller cancelled a job that it was told to be taken.
  void cancelled(const job_name& job, const try_record& it);
  void state_read(const job_name& job, const state_record& it);
  void began(const task_name& task, const run_record& it);
  void ended(const task_name& task, uint32_t run, time_point at, bool done);
  void noted(const task_name& task, uint32_t run, time_point at);
  /// The first task of the job crashes whatever starts it: it is owed no end.
  void plan_crash(const job_name& job) { jobs_[job].crashes = true; }
  /// The run crashes its worker.
  void crashes(const task_name& task, uint32_t run);
  void worker_crashed() { ++crashes_; }
  /// The worker runs so many tasks, more than its room has held for a while.
  void over_room(const task_name& task, const std::string& worker, size_t runs);
  /// What the operators wrote and read.
  register_history& configurations() { return configurations_; }
  const register_history& configurations() const { return configurations_; }
  /// Which entry boxes were told to stop, and what was cut off.
  stop_history& stops() { return stops_; }
  const stop_history& stops() const { return stops_; }
  /// Which workers held leases.
  lease_history& leases() { return leases_; }
  const lease_history& leases() const { return leases_; }

  /// Every promise that was broken, a line each. `calm` when faults are over
  /// for long enough that all that was accepted must have ended.
  std::vector<std::string> broken(bool calm) const;
  /// True when nothing that was accepted is left to do.
  bool all_done() const;

  size_t jobs() const { return jobs_.size(); }
  size_t runs() const { return runs_; }
  /// How many tries ended with each status.
  const std::map<unsigned, size_t>& statuses() const { return statuses_; }
  /// How many cancels were acknowledged, and states told.
  size_t cancels() const { return cancels_; }
  size_t states() const { return states_; }
  /// Workers that a task crashed.
  size_t crashes() const { return crashes_; }

 private:
  struct job_record {
    std::vector<task_name> tasks;
    std::vector<try_record> tries;
    std::vector<try_record> cancels;
    std::vector<state_record> states;
    bool crashes = false;

    std::optional<time_point> taken_at() const;
    /// When the first cancel was acknowledged.
    std::optional<time_point> cancelled_at() const;
    /// A cancel was sent and not surely refused.
    bool may_be_cancelled() const;
    /// Taken, and to be done once calm.
    bool is_owed() const;
  };
  void check_again(const task_name& task, const run_record& it);
  void check_refused(std::vector<std::string>& out) const;
  void check_twice(std::vector<std::string>& out) const;
  void check_lost(std::vector<std::string>& out) const;
  void check_cancelled(std::vector<std::string>& out, bool calm) const;
  void check_budget(std::vector<std::string>& out) const;
  void check_states(std::vector<std::string>& out) const;
  /// What a state that a caller was told contradicts; empty for nothing.
  std::string fault_of(const job_record& job, const state_record& it) const;
  bool is_done(const task_name& task) const;
  bool was_done_by(const task_name& task, time_point at) const;

  std::map<job_name, job_record> jobs_;
  std::map<task_name, job_name> job_of_;
  std::map<task_name, std::vector<run_record>> tasks_;
  std::map<unsigned, size_t> statuses_;
  size_t cancels_ = 0;
  size_t states_ = 0;
  size_t crashes_ = 0;
  std::vector<std::string> faults_;
  register_history configurations_;
  stop_history stops_;
  lease_history leases_;
  size_t runs_ = 0;
};

}  // namespace kestrelreel::faults

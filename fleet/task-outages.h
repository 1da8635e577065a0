// Outages of long-running tasks: for how long each has been without a run, and
// what became of the starts since.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "fleet/job-book.h"
#include "fleet/task-key.h"

namespace kestrelreel {

/// A start that was recorded during an outage.
struct outage_start {
  run_number run;
  worker_id worker;
  time_point recorded_at{};
  /// Why the run never began; empty while it may still begin.
  std::string failure;
  time_point failed_at{};
};

/// The time for which a long-running task has no run: from the end of its last
/// run that began until a worker lists a later one.
struct task_outage {
  time_point since{};
  /// The last run that began; 0 if none did.
  run_number last_run;
  /// Why the task has no run.
  std::string cause;
  /// The last starts since, and the number of those that came to nothing.
  std::vector<outage_start> starts;
  size_t failed_starts = 0;
};

/// The outages of long-running tasks. Every replica keeps them from the log, by
/// its own clock, so that a new leader knows how long a task has been without a
/// run. A replica that doesn't lead learns that a run began only by its end.
class task_outages {
 public:
  task_outages(const job_book& book, const clock_source& clock)
      : book_(book), clock_(clock) {}

  /// The current runs of long-running tasks that the command may end; called
  /// before the book applies it.
  std::vector<run_key> runs_ended_by(const fleet::fleet_command& command) const;
  /// Follows a command that the book has applied; `ended` is the result of
  /// `runs_ended_by`.
  void apply(const fleet::fleet_command& command,
             const std::vector<run_key>& ended);
  /// Begins anew after the book was replaced by a snapshot, which doesn't tell
  /// since when tasks have been without a run.
  void reload();
  /// The task's worker lists the run; returns the outage that is over.
  std::optional<task_outage> begin_run(const run_key& run);
  /// Calls `visit` with each task of the job that has an outage, and with it.
  template <typename Visit>
  void for_each(job_number job, Visit visit) const {
    visit_range({job, 0, 0, 0}, {job, UINT32_MAX, UINT32_MAX, UINT32_MAX},
                visit);
  }
  /// The same for the tasks of the step whose first task is `first`.
  template <typename Visit>
  void for_each_of_step(task_key first, Visit visit) const {
    task_key last = first;
    first.index = 0;
    last.index = UINT32_MAX;
    visit_range(first, last, visit);
  }
  /// The outage of the task, or null.
  const task_outage* find(const task_key& task) const;
  /// When the run was recorded as started, if the task's outage is open.
  std::optional<time_point> recorded_at(const run_key& run) const;
  /// The recorded runs that may not have begun yet.
  std::vector<run_key> open_starts() const;

 private:
  /// How a run ended.
  struct ending {
    time_point at{};  // When the task's users lost it.
    bool began;
    std::string cause;
  };
  template <typename Visit>
  void visit_range(const task_key& first, const task_key& last,
                   Visit& visit) const {
    const auto end = outages_.upper_bound(last);
    for (auto it = outages_.lower_bound(first); it != end; ++it)
      visit(it->first, it->second);
  }
  void add_start(const fleet::run_start& start);
  void end_run(const run_key& run, const ending& how);
  void forget(const fleet::job_list& jobs);

  const job_book& book_;
  const clock_source& clock_;
  std::map<task_key, task_outage> outages_;
};

/// Text of the starts for logs, such as `2@w1:withdrawn:813,3@w2::120`: run,
/// worker, failure, and the time in ms for which the start was open.
std::string to_text(const std::vector<outage_start>& starts, time_point now);

}  // namespace kestrelreel

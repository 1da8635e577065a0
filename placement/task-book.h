// A data-centre holder's book of tasks and workers: what should run, what may
// be running where, and what each worker is told next. Pure: time comes from a
// clock, messages go in and out as values.
//
// The rule that it keeps: a task has at most one run that may be live. A run
// ends only when its worker says so or when its lease has ended on any clock.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "placement/policy.h"
#include "placement/task.h"
#include "proto/worker.pb.h"

namespace kestrelreel {

/// Lengths that the holder and the workers agree on.
struct book_settings {
  /// A task stops by itself this long after the worker's last reply that the
  /// holder had seen when it renewed.
  milliseconds task_lease{6'000};
  unsigned drift_percent = 5;
  /// Least time between two exchanges with one worker, orders pending or not.
  milliseconds sync_interval{1'000};
  milliseconds prompt_interval{100};
  /// How long a service's replica on a leaving worker answers its callers
  /// after they were told to go elsewhere.
  milliseconds drain_time{5'000};
  /// Wait before a task that failed is started again; doubles each time.
  milliseconds retry_wait{500};
  milliseconds retry_wait_most{60'000};
  /// Starts decided in one call of `place`.
  size_t starts_at_once = 4'000;

  milliseconds lease_with_drift() const {
    return task_lease + task_lease * drift_percent / 100;
  }
};

/// What a run is known to be.
enum class run_phase { starting, running, stopping, draining };

/// The phase as the status shows it.
const char* to_string(run_phase phase);

/// A run that may be live.
struct task_run {
  worker_id worker;
  attempt_number attempt;
  run_phase phase = run_phase::starting;
  resource_amount size;
  /// Name of the service that it is a replica of; empty for batch work.
  std::string service;
  /// Where a service's replica answers.
  std::string address;
  /// When it has ended on any clock, unless renewed.
  time_point lease_end{};
  /// The first exchange that named it; 0 when none did yet.
  uint64_t first_sequence = 0;
  time_point drain_end{};
};

/// A task and its run.
struct task_entry {
  std::optional<task_spec> wanted;
  std::optional<task_run> run;
  /// Ended well; waits for the record to say so.
  bool done = false;
  uint32_t failures = 0;
  time_point not_before{};
  /// Why it does not run; empty while it does.
  std::string reason;
};

/// A run that a worker reports while the book has another of that task.
struct stray_run {
  attempt_number attempt;
  resource_amount size;
};

/// A worker and what the holder knows of it.
struct worker_entry {
  worker_info info;
  bool listed = false;
  resource_amount committed;
  std::set<task_id> tasks;
  /// Ended runs that the worker still reports. It may forget one once the
  /// record knows of its end.
  std::map<task_id, attempt_number> ended;
  /// Runs that are not in the book and must stop.
  std::map<task_id, stray_run> strays;
  uint64_t sequence = 0;
  uint64_t answered_sequence = 0;
  bool synced = false;
  bool in_flight = false;
  time_point next_sync{};
  time_point last_answer{};
  uint64_t echo_ms = 0;
  std::string incarnation;
  std::map<std::string, uint32_t> replicas;

  /// Room for another task, by what it was given and may still hold.
  resource_amount free() const;
};

/// Counts since the start.
struct book_counters {
  uint64_t started = 0;
  uint64_t lost = 0;
  uint64_t failed = 0;
  uint64_t completed = 0;
  uint64_t strays = 0;
};

/// The book of one reign; see the file's comment.
class task_book {
 public:
  task_book(book_settings settings, const placement_policy& policy,
            clock_source& clock);

  /// A new reign: nothing is known of what runs. No task is started before
  /// all leases of earlier reigns must have ended.
  void begin(epoch_number epoch, const std::string& holder);
  epoch_number epoch() const { return epoch_; }

  /// What should run from now on.
  void set_tasks(const task_specs& tasks);
  /// The platform's list. A worker that is no longer listed gets no new
  /// tasks, but is told to go on with those it has.
  void set_workers(const std::vector<worker_info>& workers);

  /// Workers to be sent the next exchange now.
  std::vector<worker_id> due() const;
  /// The next exchange with a worker; counts as sent.
  proto::sync_request next_sync(const worker_id& worker);
  /// The worker's answer. Returns the epoch that the next reign must exceed if
  /// the worker obeys another holder, else nothing.
  std::optional<epoch_number> on_reply(const proto::sync_reply& reply);
  /// The exchange got no answer.
  void on_no_reply(const worker_id& worker);

  /// Ends runs whose leases are over.
  void expire();
  /// Decides where waiting tasks start.
  void place();

  /// Tasks that ended well and are not yet known to be recorded, by job.
  std::map<std::string, std::vector<uint32_t>> completions() const;

  const std::map<task_id, task_entry>& tasks() const { return tasks_; }
  const std::map<worker_id, worker_entry>& workers() const { return workers_; }
  const book_counters& counters() const { return counters_; }
  /// True once all runs of earlier reigns are known or over.
  bool settled() const;
  /// Sum of the free room of the listed workers.
  resource_amount free_room() const;

 private:
  using waiting_key = std::tuple<task_class, int64_t, task_id>;

  waiting_key key_of(const task_id& id, const task_spec& spec) const;
  void wait(const task_id& id, task_entry& task);
  void stop_waiting(const task_id& id, const task_entry& task);
  void assign(const task_id& id, task_entry& task, worker_entry& worker);
  void attach(const task_id& id, task_entry& task, task_run run);
  void end_run(const task_id& id, task_entry& task);
  void drop_if_unused(const task_id& id);
  worker_entry* choose(const task_spec& spec);
  bool could_ever_fit(const task_spec& spec) const;
  milliseconds backoff(uint32_t failures) const;

  void add_orders(worker_entry& worker, proto::sync_request& request);
  void start_draining(worker_entry& worker);
  void note_reports(worker_entry& worker, const proto::sync_reply& reply);
  void note_strays(worker_entry& worker, const proto::sync_reply& reply);
  void add_start(const task_id& id, const task_run& run,
                 proto::sync_request& request) const;
  void prompt(worker_entry& worker) const;
  bool may_forget(const task_id& id) const;
  void note_report(worker_entry& worker, const proto::task_report& report);
  void adopt(worker_entry& worker, const proto::task_report& report);
  void note_end(const task_id& id, task_entry& task,
                const proto::task_report& report);
  void end_missing(worker_entry& worker, uint64_t sequence,
                   const std::set<task_id>& reported);

  book_settings settings_;
  const placement_policy& policy_;
  clock_source& clock_;
  epoch_number epoch_;
  std::string holder_;
  time_point barrier_end_{};
  uint64_t attempts_ = 0;
  std::map<task_id, task_entry> tasks_;
  std::map<worker_id, worker_entry> workers_;
  std::map<std::string, std::map<std::string, uint32_t>> rack_replicas_;
  std::set<waiting_key> waiting_;
  book_counters counters_;
};

}  // namespace kestrelreel

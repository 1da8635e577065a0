// A data-centre holder's book of tasks and workers: what should run, what may
// be running where, and what each worker is told next. Pure: time comes from a
// clock, messages go in and out as values.
//
// The rule that it keeps: a task has at most one run that may be live. A run
// ends only when its worker says so or when its lease has ended on any clock.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "placement/policy.h"
#include "placement/task.h"
#include "placement/worker-index.h"
#include "proto/worker.pb.h"

namespace kestrelreel {

/// Lengths that the holder and the workers agree on.
struct book_settings {
  /// A task stops by itself this long after the worker's last reply that the
  /// holder had seen when it renewed.
  milliseconds task_lease{8'000};
  unsigned drift_percent = 5;
  /// Least time between two exchanges with one worker, without and with orders
  /// to give.
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

/// Why a task does not run.
enum class wait_reason {
  none,
  waiting,
  failed_lately,
  no_room,
  too_large,
  evacuated,
};
/// The reason in words for operators; empty for `none`.
const char* to_string(wait_reason reason);

struct worker_entry;

/// A run that may be live.
struct task_run {
  worker_entry* worker = nullptr;
  attempt_number attempt;
  run_phase phase = run_phase::starting;
  resource_amount size;
  /// Its part of `sync_request::renew_digest`.
  uint64_t digest = 0;
  /// Where a service's replica answers.
  std::string address;
  /// When it has ended on any clock, unless renewed.
  time_point lease_end{};
  /// The first exchange that named it, and the last that ordered its start; 0
  /// when none did yet.
  uint64_t first_sequence = 0;
  uint64_t last_start = 0;
  time_point drain_end{};
  /// What the worker's counts of replicas hold it as; null for batch work.
  std::shared_ptr<const task_shape> counted;
};

/// A task and its run.
struct task_entry {
  /// The book's own copy of the id.
  const task_id* id = nullptr;
  std::optional<task_spec> wanted;
  std::unique_ptr<task_run> run;
  /// Ended well; waits for the record to say so.
  bool done = false;
  wait_reason reason = wait_reason::none;
  uint32_t failures = 0;
  time_point not_before{};
};

/// A run that a worker reports while the book has another of that task.
struct stray_run {
  attempt_number attempt;
  resource_amount size;
};

/// A worker and what the holder knows of it.
struct worker_entry {
  worker_info info;
  size_t row = 0;
  bool listed = false;
  resource_amount committed;
  std::vector<task_entry*> tasks;
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
  uint64_t have_report = 0;
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
  uint64_t whole_reports = 0;
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
  /// What should run from now on of the tasks whose ids begin so.
  void set_tasks(const std::string& prefix, const task_specs& tasks);
  /// The platform's list. A worker that is no longer listed gets no new
  /// tasks, but is told to go on with those it has.
  void set_workers(const std::vector<worker_info>& workers);

  /// While it is evacuated, nothing starts in this data centre; what runs goes
  /// on.
  void set_evacuated(bool now);

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
  /// Order in which tasks are started; by id among equals, so that equal
  /// books decide equally.
  struct start_order {
    bool operator()(const task_entry* a, const task_entry* b) const;
  };
  struct id_order {
    bool operator()(const task_entry* a, const task_entry* b) const {
      return *a->id < *b->id;
    }
  };
  using task_iterator = std::map<task_id, task_entry>::iterator;

  // Tasks and placement: task-book.cc.
  task_entry& entry(const task_id& id);
  void want(const task_id& id, const task_spec& spec);
  void unwant(task_entry& task);
  void set_range(task_iterator it, task_iterator end, const task_specs& tasks);
  void wait(task_entry& task);
  void stop_waiting(task_entry& task);
  void assign(task_entry& task, worker_entry& worker);
  void attach(task_entry& task, std::unique_ptr<task_run> run);
  void end_run(task_entry& task);
  void drop_if_unused(task_entry& task);
  worker_entry* choose(const task_shape& shape);
  wait_reason try_place(task_entry& task,
                        std::vector<resource_amount>& too_large);
  bool could_ever_fit(const task_shape& shape) const;
  milliseconds backoff(uint32_t failures) const;
  void update_row(worker_entry& worker);
  void prompt(worker_entry& worker) const;

  // Exchanges: task-book-sync.cc.
  void add_orders(worker_entry& worker, proto::sync_request& request);
  void add_renewals(worker_entry& worker, proto::sync_request& request);
  static void add_start(const task_entry& task, proto::sync_request& request);
  bool may_forget(const task_id& id) const;
  void start_draining(worker_entry& worker);
  bool overtaken(const proto::sync_reply& reply) const;
  void note_reports(worker_entry& worker, const proto::sync_reply& reply);
  void note_strays(worker_entry& worker, const proto::sync_reply& reply);
  void note_report(worker_entry& worker, const proto::task_report& report);
  void note_stray(worker_entry& worker, const proto::task_report& report);
  void adopt(worker_entry& worker, const proto::task_report& report);
  void note_end(task_entry& task, const proto::task_report& report);
  void end_missing(worker_entry& worker, uint64_t sequence,
                   const std::set<task_id>& reported);

  book_settings settings_;
  const placement_policy& policy_;
  clock_source& clock_;
  epoch_number epoch_;
  std::string holder_;
  time_point barrier_end_{};
  uint64_t attempts_ = 0;
  bool evacuated_ = false;
  std::map<task_id, task_entry> tasks_;
  std::map<worker_id, worker_entry> workers_;
  worker_index index_;
  std::vector<worker_entry*> rows_;
  std::map<std::string, std::map<std::string, uint32_t>> rack_replicas_;
  std::set<task_entry*, start_order> waiting_;
  std::set<task_entry*, id_order> done_;
  book_counters counters_;
};

}  // namespace kestrelreel

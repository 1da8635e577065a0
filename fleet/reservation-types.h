// Types of the scheduler that reserve capacity for long-running tasks.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "base/clock.h"
#include "fleet/task-key.h"
#include "fleet/worker-table.h"

namespace kestrelreel {

/// An amount of each kind of capacity; `cpu` in thousandths of a core.
struct resources {
  uint64_t cpu = 0;
  uint64_t memory_mb = 0;
  uint64_t accelerators = 0;

  void add(const resources& it);
  void subtract(const resources& it);
  bool covers(const resources& need) const;
};

/// How soon a run can release its capacity, by ending or by eviction, and
/// the work lost, in seconds of a long-running task.
struct release_option {
  run_key run;
  resources frees;
  double seconds;
  double cost;
  bool evict;
};

struct worker_releases {
  worker_view* worker;
  std::vector<release_option> options;
  resources total;  // Of all options.
};

using chosen_releases = std::vector<const release_option*>;
using releases_by_priority = std::map<uint32_t, std::vector<worker_releases>>;

/// A possible reservation: time until the capacity is free, cost, evictions.
struct reservation_plan {
  worker_view* worker;
  double seconds;
  double cost;
  std::vector<run_key> evictions;
};

/// A run to stop in favour of a long-running task of the step.
struct eviction {
  run_key run;
  task_key step;
};

struct reservation_result {
  /// Reservations held, and how many of them are new.
  size_t total = 0;
  size_t added = 0;
  /// Tasks without a reservation, and tasks of steps in their retry pause.
  size_t unmet = 0;
  size_t skipped = 0;
  /// Workers whose release options were examined in full.
  size_t workers_examined = 0;
  std::vector<eviction> evictions;
};

/// A step whose long-running tasks have been pending for too long.
struct delayed_step {
  uint32_t priority;
  time_point since;
  task_key first;
  uint32_t tasks;
  uint64_t cpu;
  // Includes tasks that never started; interrupted ones have an entry too.
  bool includes_new;
};

/// State of one pass over all delayed steps.
struct reservation_round {
  std::set<run_key> stopping;
  releases_by_priority releases;
  size_t max_reservations = 0;
  size_t scans = 0;  // Of all workers.
  size_t max_scans = 0;
  // Time until every delayed step has had its turn.
  milliseconds cycle{0};
  reservation_result result;
};

struct reservation_ref {
  worker_view* worker;
  size_t index;
};

/// Usable workers of a pool, their processors, and the processors that their
/// long-running and their other tasks but backfill hold, all in thousandths
/// of a core.
struct pool_use {
  uint64_t workers = 0;
  uint64_t cpu = 0;
  uint64_t long_running = 0;
  uint64_t others = 0;
};

/// Processors that runs in the book hold, by kind, in thousandths of a core.
struct held_processors {
  uint64_t resumed = 0;       // Long-running, started more than once.
  uint64_t long_running = 0;  // Long-running, in their first run.
  uint64_t others = 0;        // Neither long-running nor backfill.
  uint64_t backfill = 0;      // Asked for; backfill reserves none.
  uint64_t unlisted = 0;      // Of all but backfill, unlisted by the worker.

  void add(const fleet::step_spec& step, run_number run, bool listed);
};

/// A step of short tasks without a worker.
struct waiting_short_step {
  task_key first;
  time_point since;
  uint32_t tasks;
};

/// Capacity that a worker's tasks hold: backfill tasks, short tasks of less
/// urgent queues, all other short tasks, and long-running tasks.
struct reclaimable {
  worker_view* worker;
  resources backfill;
  resources less_urgent;
  resources other;
  resources long_running;
};

/// Workers that fit a task now, or would without some of their tasks.
struct fit_counts {
  uint64_t usable = 0;
  uint64_t excluded = 0;
  uint64_t with_reservations = 0;  // Those that fit with all reservations kept.
  uint64_t places = 0;             // Tasks that fit, reservations aside.
  uint64_t fit = 0;
  uint64_t fit_cpu = 0;
  uint64_t fit_memory = 0;
  uint64_t without_backfill = 0;
  uint64_t without_less_urgent = 0;
  uint64_t without_short = 0;
  uint64_t without_long_running = 0;
  uint64_t most_cpu = 0;
  uint64_t most_memory = 0;
};

}  // namespace kestrelreel

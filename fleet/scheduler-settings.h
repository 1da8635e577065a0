// Limits and weights of task placement and backfill pacing.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "base/clock.h"
#include "scheduling/settings.h"

namespace kestrelreel {

/// Limits and weights of the scheduler.
struct scheduler_settings {
  /// Which decisions under load are switched on; set by the controller.
  load_decisions decisions;
  /// Average use of a serving task's processors, in percent: slightly above the
  /// average load of services, 0.48.
  unsigned serving_use_percent = 55;
  /// A backfill task starts on a worker with at least this share of its
  /// processors free, and where it may run at least at this pace.
  unsigned min_backfill_cpu_percent = 70;
  unsigned min_backfill_pace_percent = 50;
  /// Maximum of the processors that backfill tasks lose by throttling for one
  /// serving task's target, of a worker with 32. With more, backfill jobs
  /// become late while targets are missed all the same, if there is backfill
  /// demand for all free processors (docs/design/shifted-load.md). What a job
  /// with slack loses counts less.
  double max_backfill_loss_cores = 1.5;
  /// A job without a running task for this long starts one backfill task on any
  /// worker with capacity, however slow its pace: users allow 3 s.
  milliseconds starved_after{800};
  /// A long-running job with tasks pending for this long goes before the short
  /// jobs of its priority: users tolerate 6 s, or 9 s where there is capacity.
  milliseconds long_running_first_after{4'500};
  /// Capacity is reserved for a long-running task pending for this long, where
  /// it is free soonest. Users' short tasks take 0.64 s, so the task starts
  /// some 3 s after it became pending.
  milliseconds reserve_after{2'000};
  /// The same for a task that never started, and so interrupted nobody.
  milliseconds reserve_new_after{3'000};
  /// Pause between reservation rounds, per worker: examining one takes 6 us.
  std::chrono::microseconds reservation_pause_per_worker{500};
  /// Lifetime of a reservation.
  milliseconds reservation_ttl{3'000};
  /// Worker evaluations per round, of 0.1 us each: at 1,100 workers 10 ms
  /// of each 550 ms.
  size_t max_reservation_evaluations = 100'000;
  /// Reservations per hundred workers; a task takes a fifth of a worker.
  unsigned max_reserved_percent = 25;
  /// Long-running tasks that never started leave this much of the demand of
  /// short jobs free, in percent. They occupy each gap for good, so that short
  /// tasks larger than the other gaps would never fit.
  unsigned short_demand_percent = 130;
  /// Upper bound of that capacity, in percent of the pool.
  unsigned max_short_percent = 35;
  /// Lower bound for jobs pending for less than `short_demand_warmup`, since a
  /// cluster's long-running tasks may arrive before its first short job.
  unsigned min_short_percent = 10;
  milliseconds short_demand_warmup{20'000};
  /// Longest time that a worker takes to stop a run; set by the controller.
  milliseconds worker_stop{0};
  /// Retry pause, per worker, of a step that did not fit: an evaluation of a
  /// worker takes 1 to 2 us, and a leader with 0.32 cores should spend only
  /// some hundredths of them on pending steps.
  std::chrono::microseconds retry_per_worker{300};
  /// Worker evaluations per second for all pending short steps together; with
  /// more steps each pauses longer. A leader that just keeps up at 1,100
  /// workers makes this many (0.05 to 0.1 us each), a lagging one up to four
  /// times fewer.
  uint64_t max_retry_evaluations_per_s = 4'000'000;
  /// Worker evaluations of one plan, some 10 ms of a core, so that answers to
  /// workers are not delayed; less urgent steps are left to the next plan. A
  /// lagging leader makes fewer.
  uint64_t max_plan_evaluations = 150'000;
  /// A worker silent for longer gets no new work once its call is overdue.
  milliseconds silent_limit{3'000};
  /// Consecutive failed runs, of at least two jobs, after which a worker is
  /// avoided.
  unsigned avoid_after_failures = 3;
  /// A call held for longer no longer counts as open: a log write takes some
  /// 25 ms, a turn of a lagging leader up to 200 ms, and the worker turns to
  /// another box after 1,000 ms.
  milliseconds open_call_limit{600};
  /// Short steps are first placed on this many workers with an open call, which
  /// get the start at once, and only then on all others. The cost of a
  /// placement then does not grow with the number of workers.
  size_t max_open_candidates = 512;
};

}  // namespace kestrelreel

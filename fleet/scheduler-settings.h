// Limits and weights of placing and pacing.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "base/clock.h"

namespace kestrelreel {

/// The limits and weights of the choice.
struct scheduler_settings {
  /// The share of a serving task's processors that it uses on average, in
  /// percent: a little above the average load of services, 0.48.
  unsigned serving_use_percent = 55;
  /// A fill task starts where at least this share of its processors is left,
  /// and where it may work at least at this pace.
  unsigned min_backfill_cpu_percent = 70;
  unsigned min_backfill_pace_percent = 50;
  /// A serving task's target is kept where that costs no more fill work than so
  /// many processors, of a worker with 32. Above it fill jobs that would be in
  /// time come late for targets that are missed all the same: a fleet whose
  /// fill jobs ask for all that serving tasks leave earned 0.44 at 10, 0.51 at
  /// 3 to 12, 0.56 at 1.5 and 0.55 at 0 (worth, mean of five days).
  double max_backfill_loss_cores = 1.5;
  /// A job of which nothing has run for so long starts one fill task wherever
  /// it has room, even if it will hardly get on: the users allow 3 s.
  milliseconds starved_after{800};
  /// A lasting job of which tasks have waited for so long goes before the short
  /// ones of its priority: the users bear 6 s and 3 s more where there is room.
  milliseconds long_running_first_after{4'500};
  /// For a lasting task that waited for so long, room is kept where it comes
  /// free soonest: a short task of the users' takes 0.64 s, so that a start
  /// comes some 3 s after the wait began. It is looked for with a pause of so
  /// much for each worker (a look takes 6 us), kept for so long at a time, and
  /// for so many tasks per hundred workers (a task takes a fifth of one).
  milliseconds reserve_after{2'000};
  /// The same for one that has not begun before: nobody was served by it yet.
  milliseconds reserve_new_after{3'000};
  std::chrono::microseconds reservation_pause_per_worker{500};
  milliseconds reservation_ttl{3'000};
  /// Workers looked at each time, over all choices: 0.1 us each, which is 10 ms
  /// of each 550 at 1,100 workers.
  size_t max_reservation_evaluations = 100'000;
  unsigned max_reserved_percent = 25;
  /// Lasting tasks that have not begun before leave so much of what short jobs
  /// ask for, in percent, and no more than that share of the workers: what
  /// lasts takes each gap for good, so that tasks larger than the gaps that are
  /// left find no room at all. Less than `least_kept` is left only to what has
  /// waited for `kept_before_known`: a cluster's lasting tasks may come before
  /// its first short job.
  unsigned short_demand_percent = 130;
  unsigned max_short_percent = 35;
  unsigned min_short_percent = 10;
  milliseconds short_demand_warmup{20'000};
  /// The longest that a worker takes over a stop: the controller's own figure.
  milliseconds worker_stop{0};
  /// A step that found no room is tried again after so much for each worker:
  /// looking through a worker takes 1 to 2 us, and a leader of 0.32 cores
  /// should not spend more than some hundredths of it on steps that wait.
  std::chrono::microseconds retry_per_worker{300};
  /// All short steps that wait together cost no more than so many looks at
  /// workers a second; with more of them each is tried again later. So many
  /// were measured at 1,100 workers with a leader that just kept up (0.05 to
  /// 0.1 us each); one that is behind makes up to four times fewer.
  uint64_t max_retry_evaluations_per_s = 4'000'000;
  /// One plan looks at no more workers than that, some 10 ms of a core, so that
  /// answers to workers don't wait for it; the less urgent steps have their
  /// turn in the next one. Fewer, too, while the leader is behind.
  uint64_t max_plan_evaluations = 150'000;
  /// A worker silent for longer gets no new work, once its call is overdue.
  milliseconds silent_limit{3'000};
  /// Failed ends in a row, of at least two jobs, after which a worker is
  /// avoided.
  unsigned avoid_after_failures = 3;
  /// A call that has waited for longer counts as no open one: the log takes
  /// some 25 ms, a turn of a leader that is behind up to 200, and the worker
  /// turns elsewhere after 1,000.
  milliseconds open_call_limit{600};
  /// Where idle workers' calls are held, short steps are placed at so many of
  /// them first, for a start at once, and at all others only for the rest: a
  /// choice then costs the same however many workers there are.
  size_t max_open_candidates = 512;
};

}  // namespace kestrelreel

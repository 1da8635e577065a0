// Workers that were avoided because they failed or refused tasks: each runs one
// task at a time until a run shows that it is sound.
#include <algorithm>
#include <utility>

#include "fleet/scheduler.h"

namespace kestrelreel {

/// Marks the workers whose last start since they were avoided is under way.
void fleet_scheduler::record_recovery_trials() {
  workers_.groups().recovering.retain_if([&](worker_view& it) {
    if (it.avoided_times == 0) return false;
    if (!it.recovery) return true;
    const run_key& run = it.recovery->run;
    const bool under_way =
        it.proposed_starts.contains(run) || book_.runs_on(it.id).contains(run);
    if (under_way) {
      record_suspect_trial(it.id, run.task);
    } else {
      it.recovery.reset();
    }
    return true;
  });
}

/// Avoided workers on which a long-running task may be tried.
std::vector<worker_view*> fleet_scheduler::retry_candidates() {
  std::vector<worker_view*> all;
  const time_point now = clock_.now();
  workers_.groups().recovering.retain_if([&](worker_view& it) {
    const bool is_due = now >= it.retry_from && now < it.avoided_until;
    if (is_due && absence_reason(it) == nullptr) {
      if (std::exchange(it.load_is_stale, false)) it.load = load_of(it);
      all.push_back(&it);
    }
    return true;
  });
  drop_unreachable(all);
  return all;
}

/// Tries long-running tasks that fit on no other worker. Their attempts are not
/// limited, so that they lose nothing by a failure, and without a try they
/// would wait for a worker that may be sound since. Returns how many are tried.
size_t fleet_scheduler::place_on_avoided_workers(const waiting_job& job,
                                                 const pending_step& step,
                                                 fleet::run_starts& out) {
  if (!step.spec.long_running() || step.spec.gang()) return 0;
  if (workers_.groups().recovering.size() == 0) return 0;
  std::vector<worker_view*> all = retry_candidates();
  if (all.empty()) return 0;
  const std::vector<placement> placed = place_tasks(job, step, all);
  start(placed, step, out);
  return placed.size();
}

}  // namespace kestrelreel

// Finds tasks that lag behind the other tasks of their step, and slow workers,
// for load with uneven workers, tasks that stand still and long tails.
#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "scheduling/run-times.h"

namespace kestrelreel {

/// A run as its worker reports it.
struct running_task {
  /// Since it was listed for the first time.
  milliseconds elapsed{0};
  /// Of its work; may stand still or run backwards.
  uint32_t percent = 0;
  /// Since the percentage last rose.
  milliseconds stalled_for{0};
  /// A new run continues from a checkpoint.
  bool saves_progress = false;
  /// Pace that it was told, as a share; a throttled task is no straggler.
  double share = 1;
};

/// What to do about a run.
enum class straggler_action : uint8_t {
  keep,
  /// Stop it, so that it starts on another worker.
  restart,
};

/// Limits of one decision.
struct straggler_limits {
  /// Time that a stop and a new start take.
  milliseconds restart_cost{0};
};

/// Decides for a run whose time on a sound worker is estimated by `whole`: a
/// restart must be expected to end it sooner than the run itself would.
straggler_action review_run(const running_task& run, const time_estimate& whole,
                            const straggler_limits& limits);

/// Speed of each worker, from the rates of the tasks that ran there relative to
/// others of their kind; returns to the norm without observations.
class worker_speeds {
 public:
  /// `relative` is the expected time of a run divided by the actual one.
  void observe(const worker_id& worker, double relative, time_point now);
  /// 1 for a worker without observations.
  double speed(const worker_id& worker, time_point now) const;
  void forget(const worker_id& worker) { workers_.erase(worker); }
  void clear() { workers_.clear(); }

 private:
  struct estimate {
    double log_speed = 0;
    time_point at{};
  };
  std::map<worker_id, estimate> workers_;
};

}  // namespace kestrelreel

// Avoids workers that fail or refuse what they are sent, and tries them again:
// a circuit breaker for each worker.
#include <algorithm>
#include <utility>

#include "fleet/controller.h"
#include "kernel/log.h"

namespace kestrelreel {
namespace detail {

constexpr const char* service_name = "controller";
/// The first period in which a worker is avoided, and the pause between tries
/// of long-running tasks that fit nowhere else: they lose nothing by a try.
constexpr milliseconds first_avoidance{2'000};
constexpr unsigned max_avoidance_doublings = 3;
/// A run that goes on for so long shows that its worker is sound. Long-running
/// tasks never end well.
constexpr milliseconds soundness_proof_time{1'000};

}  // namespace detail

/// Counts a failed run. Runs that end while the worker is avoided tell nothing
/// new: they began before, or by a try that no period depends on.
void fleet_controller::count_failure(worker_view& it,
                                     const fleet::run_end& end) {
  if (clock_.now() < it.avoided_until) {
    it.retry_from = clock_.now() + detail::first_avoidance;
    return;
  }
  const job_number job(end.task().job());
  const bool other_job = job != std::exchange(it.failed_job, job);
  if (it.avoided_times > 0) {
    return avoid_worker(it, "fails a task it is tried with", other_job);
  }
  if (it.failures == 0 || other_job) ++it.failed_jobs;
  ++it.failures;
  const bool is_faulty =
      it.failures >= settings_.scheduling.avoid_after_failures &&
      it.failed_jobs >= 2;
  if (is_faulty) avoid_worker(it, "fails the tasks it starts");
}

/// Counts heartbeats with refusals. The refusals of one heartbeat are counted
/// once, as they may all come from one shrinkage of the worker's capacity.
void fleet_controller::count_refusals(worker_view& it,
                                      const fleet::worker_report& report) {
  const auto& ends = report.ends();
  const bool refused = std::any_of(ends.begin(), ends.end(), [](auto& end) {
    return end.outcome() == fleet::run_refused;
  });
  if (!refused || clock_.now() < it.avoided_until) return;
  if (++it.refusals < settings_.scheduling.avoid_after_failures) return;
  avoid_worker(it, "refuses the tasks it is sent");
}

/// Without `longer` the period is as long as the last one: one bad job must not
/// rule a worker out for longer and longer.
void fleet_controller::avoid_worker(worker_view& it, const char* cause,
                                    bool longer) {
  const time_point now = clock_.now();
  if (longer || it.avoided_times == 0) ++it.avoided_times;
  const unsigned doublings =
      std::min(it.avoided_times - 1, detail::max_avoidance_doublings);
  it.failures = it.failed_jobs = it.refusals = 0;
  it.avoided_until = now + detail::first_avoidance * (1U << doublings);
  it.retry_from = now + detail::first_avoidance;
  workers_.groups().recovering.add(it);
  log_event(detail::service_name, log_level::warn, "worker-avoided")
      .with("worker", it.id.str())
      .with("cause", cause)
      .with("for-ms", (it.avoided_until - now).count());
}

/// A run ended well or goes on: the worker is sound.
void fleet_controller::end_recovery(worker_view& it) {
  it.failures = it.failed_jobs = it.refusals = it.avoided_times = 0;
  it.recovery.reset();
}

void fleet_controller::observe_recovery(worker_view& it) {
  recovery_trial& trial = *it.recovery;
  const time_point now = clock_.now();
  if (!it.rows.contains(trial.run)) return trial.listed_since.reset();
  if (!trial.listed_since) trial.listed_since = now;
  if (now - *trial.listed_since < detail::soundness_proof_time) return;
  log_event(detail::service_name, log_level::info, "worker-sound")
      .with("worker", it.id.str())
      .with("task", to_text(trial.run.task))
      .with("avoided-times", it.avoided_times);
  it.avoided_until = std::min(it.avoided_until, now);
  end_recovery(it);
}

}  // namespace kestrelreel

// Ends outages of long-running tasks by what workers list.
#include <algorithm>

#include "fleet/controller.h"
#include "fleet/run-presence.h"
#include "kernel/log.h"

namespace kestrelreel {
namespace detail {

constexpr const char* service_name = "controller";
/// Outages below this are not logged.
constexpr milliseconds report_after{3'000};

}  // namespace detail

/// Whether the log is to say of a lost run that it began. Of a worker that this
/// leader never heard, a run counts as begun once its start is two leases old:
/// one that never began would have been declared lost before.
bool fleet_controller::counts_as_begun(const worker_view& it,
                                       const run_key& run) const {
  if (it.has_heartbeat) return has_begun(it, run);
  const auto recorded_at = outages_.recorded_at(run);
  return !recorded_at ||
         clock_.now() - *recorded_at >= 2 * workers_.leases().expiry_delay();
}

/// Ends the outages of the tasks whose runs the worker lists.
void fleet_controller::observe_begun_runs(worker_view& it) {
  std::erase_if(it.awaited_runs, [&](const run_key& run) {
    if (!book_.runs_on(it.id).contains(run)) return true;
    if (!it.rows.contains(run)) return false;
    const auto outage = outages_.begin_run(run);
    if (outage) log_outage(run, it, *outage);
    return true;
  });
}

/// A new leader doesn't know which of the recorded runs have begun.
void fleet_controller::await_recorded_starts() {
  for (const run_key& run : outages_.open_starts())
    workers_.expect(book_.find(run.task)->worker).awaited_runs.insert(run);
}

void fleet_controller::log_outage(const run_key& run, const worker_view& worker,
                                  const task_outage& outage) const {
  const time_point now = clock_.now();
  if (now - outage.since < detail::report_after) return;
  log_event(detail::service_name, log_level::warn, "task-outage-over")
      .with("task", to_text(run.task))
      .with("out-ms", (now - outage.since).count())
      .with("last-run", outage.last_run.value())
      .with("cause", outage.cause)
      .with("run", run.run.value())
      .with("worker", worker.id.str())
      .with("failed-starts", outage.failed_starts)
      .with("starts", to_text(outage.starts, now))
      .with("lag-ms", lag_.lag().count());
}

}  // namespace kestrelreel

// Admission of jobs: what a submission asks for, and what it would find.
#include "fleet/controller.h"
#include "fleet/job-order.h"
#include "kernel/log.h"

namespace kestrelreel {
namespace detail {

constexpr const char* service_name = "controller";
constexpr double milli = 1'000;

/// Processors that the job's long-running tasks ask for.
double lasting_cores(const fleet::fleet_job_spec& spec) {
  double cores = 0;
  for (const fleet::step_spec& it : spec.steps()) {
    if (!it.long_running()) continue;
    cores += it.count() * static_cast<double>(it.cpu_milli()) / milli;
  }
  return cores;
}

}  // namespace detail

/// A new leader knows the capacity once all live workers have called.
bool fleet_controller::knows_capacity() const {
  return clock_.now() - led_since_ >= settings_.leases.expiry_delay();
}

admission_decision fleet_controller::review_admission(
    job_number job, const fleet::fleet_job_spec& spec,
    const fleet::queue_route& queue) {
  // Repeated jobs are due later, when the load is another one.
  if (!settings_.decisions.admission || !knows_capacity() || spec.times() > 0)
    return {};
  const bool backfill = has_backfill(spec);
  const job_progress::new_work work =
      scheduler_.progress().work_of_new(spec, queue);
  const double lasting = detail::lasting_cores(spec);
  const job_demand demand{job,
                          work.core_seconds,
                          work.path,
                          work.objective,
                          work.objective * late_factor,
                          lasting};
  const pool_backlog backlog{
      scheduler_.usable_cores(queue.pool(), backfill),
      scheduler_.work_ahead(queue.pool(), backfill, queue.priority()),
      lasting > 0 ? scheduler_.unclaimed_cores(queue.pool()) : 0};
  const admission_decision out =
      admission_.decide(queue.pool(), demand, backlog, clock_.now());
  if (out.admitted) return out;
  ++metrics_.counter("kestrelreel_jobs_refused_total", {{"cause", out.cause}});
  log_event(detail::service_name, log_level::warn, "job-refused")
      .with("job", to_text(job))
      .with("queue", queue.name())
      .with("cause", out.cause)
      .with("expected-ms", out.expected_end.count())
      .with("useful-ms", demand.useful_for.count())
      .with("core-seconds", demand.work)
      .with("ahead", backlog.work_ahead)
      .with("cores", backlog.cores)
      .with("unclaimed-cores", backlog.lasting_cores_free)
      .with("retry-after-ms", out.retry_after.count())
      .with("expected-callers",
            admission_.expected_callers(queue.pool(), clock_.now()));
  return out;
}

}  // namespace kestrelreel

// Admission of jobs: what a submission asks for, and what it would find.
#include <optional>

#include "fleet/controller.h"
#include "fleet/job-order.h"
#include "fleet/pool-load.h"
#include "kernel/log.h"

namespace kestrelreel {
namespace detail {

constexpr const char* service_name = "controller";

}  // namespace detail

/// A new leader knows the capacity once all live workers have called; one that
/// stalled or reads late takes workers for silent that have called.
bool fleet_controller::knows_capacity() const {
  const time_point now = clock_.now();
  return now - led_since_ >= settings_.leases.expiry_delay() &&
         now >= catching_up_until_ && !is_held_up();
}

void fleet_controller::log_refusal(const job_demand& demand,
                                   const pool_backlog& backlog,
                                   const fleet::queue_route& queue,
                                   const admission_decision& decision) {
  ++metrics_.counter("kestrelreel_jobs_refused_total",
                     {{"cause", decision.cause}});
  log_event(detail::service_name, log_level::warn, "job-refused")
      .with("job", to_text(demand.job))
      .with("queue", queue.name())
      .with("cause", decision.cause)
      .with("expected-ms", decision.expected_end.count())
      .with("useful-ms", demand.useful_for.count())
      .with("core-seconds", demand.work)
      .with("ahead", backlog.work_ahead)
      .with("cores", backlog.cores)
      .with("unclaimed-cores", backlog.lasting_cores_free)
      .with("retry-after-ms", decision.retry_after.count())
      .with("expected-callers",
            admission_.expected_callers(queue.pool(), clock_.now()));
}

admission_decision fleet_controller::review_admission(
    job_number job, const fleet::fleet_job_spec& spec,
    const fleet::queue_route& queue) {
  // Repeated jobs are due later, when the load is another one.
  if (!settings_.decisions.admission || !knows_capacity() || spec.times() > 0)
    return {};
  const time_point now = clock_.now();
  const job_progress::new_work work =
      scheduler_.progress().work_of_new(spec, queue);
  const job_demand demand{
      job,
      has_backfill(spec),
      queue.priority(),
      work.core_seconds,
      work.path,
      work.objective,
      work.objective * late_factor,
      milliseconds(static_cast<int64_t>(queue.objective_ms())),
      lasting_cores(spec)};
  const job_load load{job,
                      queue.pool(),
                      demand.backfill,
                      demand.priority,
                      now + demand.objective,
                      now + demand.useful_for,
                      demand.work,
                      true,
                      demand.lasting_cores};
  const std::optional<double> cores =
      scheduler_.cores_at_best(load.pool, load.backfill);
  const pool_backlog backlog{
      cores.has_value(), cores.value_or(0),
      scheduler_.work_ahead(load, cores.value_or(0)),
      load.lasting_cores > 0 ? scheduler_.unclaimed_cores(load.pool) : 0};
  const admission_decision out =
      admission_.decide(load.pool, demand, backlog, now);
  if (out.admitted) {
    scheduler_.add_admitted(load);
  } else {
    log_refusal(demand, backlog, queue, out);
  }
  return out;
}

}  // namespace kestrelreel

#include "fleet/short-demand.h"

#include <cmath>

namespace kestrelreel {
namespace detail {

/// Decay time constant: about ten run times of users' short jobs, and a third
/// of the period of their arrival waves.
constexpr double decay_time_ms = 5'000;

/// Processor time of the steps that are neither long-running nor backfill, in
/// thousandths of a core times ms.
double processor_time_of(const fleet::fleet_job_spec& job) {
  double work = 0;
  for (const fleet::step_spec& it : job.steps()) {
    if (it.long_running() || it.fills()) continue;
    work += static_cast<double>(it.count()) *
            static_cast<double>(it.cpu_milli()) *
            static_cast<double>(it.estimate_ms());
  }
  return work;
}

}  // namespace detail

double short_demand::decayed(const level& it, time_point now) {
  const auto passed = static_cast<double>((now - it.at).count());
  return it.cpu * std::exp(-passed / detail::decay_time_ms);
}

void short_demand::record_job(const fleet::fleet_job_spec& job,
                              uint32_t priority, time_point now) {
  const double work = detail::processor_time_of(job);
  if (work == 0) return;
  level& it = levels_[priority];
  it.cpu = decayed(it, now) + work / detail::decay_time_ms;
  it.at = now;
}

uint64_t short_demand::cpu_milli(uint32_t priority, time_point now) const {
  double all = 0;
  for (const auto& [urgency, it] : levels_) {
    if (urgency <= priority) all += decayed(it, now);
  }
  return static_cast<uint64_t>(all);
}

}  // namespace kestrelreel

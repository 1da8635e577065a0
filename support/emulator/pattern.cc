#include "support/emulator/pattern.h"

namespace kestrelreel::emulator {
namespace detail {

job_kind short_jobs(double per_s) {
  job_kind it;
  it.queue = "short";
  it.per_s = per_s;
  it.steps = 2;
  it.width = 8;
  it.cpu_milli = 1'800;
  it.memory_mb = 3'600;
  it.work_ms = 800;
  it.estimate_off = 0.5;
  it.objective_ms = 1'200;
  return it;
}

job_kind fill_jobs(double per_s, double burst) {
  job_kind it;
  it.queue = "fill";
  it.priority = 2;
  it.per_s = per_s;
  it.burst = burst;
  it.steps = 2;
  it.width = 16;
  it.cpu_milli = 1'800;
  it.memory_mb = 3'200;
  it.work_ms = 2'200;
  it.estimate_off = 0.2;
  it.fills = true;
  return it;
}

/// Serving tasks ask for most of the processors; fill jobs that live on what
/// they don't use come as fast as that can carry, and faster for a while.
load_pattern fill_over_serving() {
  load_pattern it;
  it.name = "fill-over-serving";
  it.serving_jobs = 5;
  it.serving_width = 13;
  it.swing = 0.6;
  it.kinds = {short_jobs(0.5), fill_jobs(1.15, 1.5)};
  it.burst_at_s = 14;
  it.burst_for_s = 6;
  return it;
}

/// The same work at half of the fill jobs: all can be in time.
load_pattern calm() {
  load_pattern it = fill_over_serving();
  it.name = "calm";
  it.kinds = {short_jobs(0.5), fill_jobs(0.4, 1)};
  return it;
}

/// No serving tasks: fill jobs alone ask for more than there is.
load_pattern fill_alone() {
  load_pattern it = fill_over_serving();
  it.name = "fill-alone";
  it.serving_jobs = 0;
  it.kinds = {short_jobs(0.5), fill_jobs(2.4, 1.5)};
  return it;
}

/// Some jobs crash the workers that they run on.
load_pattern crashing() {
  load_pattern it = calm();
  it.name = "crashing";
  it.crashing = 0.08;
  return it;
}

/// Half of the workers lose half of their room for a while.
load_pattern shrinking() {
  load_pattern it = calm();
  it.name = "shrinking";
  it.shrink_at_s = 10;
  it.shrink_for_s = 15;
  it.shrink_share = 0.5;
  return it;
}

/// The leader's box stands still for less than a lease.
load_pattern suspended() {
  load_pattern it = calm();
  it.name = "suspended";
  it.suspend_at_s = 15;
  it.suspend_for_s = 3;
  return it;
}

}  // namespace detail

const std::vector<load_pattern>& all_patterns() {
  static const std::vector<load_pattern> all{
      detail::fill_over_serving(), detail::calm(),      detail::fill_alone(),
      detail::crashing(),          detail::shrinking(), detail::suspended()};
  return all;
}

const load_pattern* find_pattern(const std::string& name) {
  for (const load_pattern& it : all_patterns()) {
    if (it.name == name) return &it;
  }
  return nullptr;
}

}  // namespace kestrelreel::emulator

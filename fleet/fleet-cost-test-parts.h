// Measures the processor time of a leader of many workers, in the simulation of
// an overloaded leader.
#pragma once

#include "fleet/busy-leader-test-world.h"

namespace kestrelreel::busy {

/// Processor time that the leader takes, in microseconds.
struct leader_costs {
  /// Until each worker has got its first answer.
  double start_us = 0;
  /// One second without jobs.
  double quiet_us = 0;
  /// One second with jobs.
  double loaded_us = 0;
  /// The first second after a change of leader.
  double change_us = 0;
};

constexpr milliseconds measured_second{1'000};
/// Window of the workers' first heartbeats.
constexpr milliseconds cost_start{3'000};

/// Returns the scenario of a fleet of `workers`; jobs grow in proportion.
inline scenario make_fleet(int workers) {
  constexpr double jobs_per_s_per_worker = 34.0 / 6'000;
  constexpr uint32_t tasks_per_job = 50;
  constexpr int workers_per_box = 600;
  scenario it{"fleet", workers, {}};
  it.jobs_per_s = jobs_per_s_per_worker * workers;
  it.tasks_per_job = tasks_per_job;
  // The leader's work takes no time on the virtual clock.
  it.processor_share = 1e9;
  it.intake_boxes = std::max(4, workers / workers_per_box);
  it.first_call_spread = cost_start;
  return it;
}

/// Simulates start, idle time, load and a change of leader, in this order.
inline leader_costs measure_costs(int workers) {
  scenario it = make_fleet(workers);
  const double jobs_per_s = std::exchange(it.jobs_per_s, 0);
  busy_world world(it);
  const auto spent = [&](milliseconds length) {
    const double before = world.out().leader_us;
    world.pass(length);
    return (world.out().leader_us - before) * 1'000 /
           static_cast<double>(length.count());
  };
  leader_costs out;
  out.start_us = spent(cost_start) * static_cast<double>(cost_start.count()) /
                 static_cast<double>(measured_second.count());
  spent(cost_start);
  out.quiet_us = spent(2 * measured_second);
  world.set_jobs_per_s(jobs_per_s);
  spent(measured_second);
  out.loaded_us = spent(2 * measured_second);
  world.set_jobs_per_s(0);
  spent(cost_start);
  world.change_leader();
  out.change_us = spent(measured_second);
  return out;
}

}  // namespace kestrelreel::busy

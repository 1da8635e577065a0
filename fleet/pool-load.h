// What jobs ask of their pool, as a new job finds it.
#pragma once

#include <cstdint>
#include <string>

#include "base/clock.h"
#include "base/ids.h"
#include "proto/fleet.pb.h"

namespace kestrelreel {

/// What a live job, or one that is about to be accepted, asks of its pool.
struct job_load {
  job_number job;
  std::string pool;
  bool backfill = false;
  uint32_t priority = 0;
  /// By when it should end, and after which an end is of no use to its caller.
  time_point deadline{};
  time_point useful_until{};
  /// Work left without its long-running tasks, in core-seconds; 0 if it can't
  /// be of use any more.
  double work = 0;
  /// It can still end by its deadline and gives way to no other job.
  bool in_time = true;
  /// Processors that its long-running tasks ask for.
  double lasting_cores = 0;
};

/// Processors that the long-running tasks of a job hold; backfill tasks hold
/// none.
double lasting_cores(const fleet::fleet_job_spec& spec);

}  // namespace kestrelreel

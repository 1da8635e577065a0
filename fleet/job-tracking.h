// Scheduling state of a job, which is not replicated.
#pragma once

#include <optional>

#include "base/clock.h"

namespace kestrelreel {

/// A job's part in overload: overload.cc.
struct overload_state {
  bool passed_over = false;  // Gives way to others now.
  bool gave_way = false;     // Was passed over when it came to be late.
  bool goes_first = false;   // Late for it, and served before others now.
  // Decisions that have been reported, each only once.
  bool passing_reported = false;
  bool return_reported = false;
};

/// Scheduling state of a live job that the book does not hold.
struct job_tracking {
  time_point accepted;
  // When a plan first found pending tasks of the job that were due.
  std::optional<time_point> due_at;
  // Since when the job has pending tasks but none that runs.
  std::optional<time_point> idle_since;
  overload_state overload;
  // The job's work has been added to the short demand.
  bool demand_recorded = false;
};

}  // namespace kestrelreel

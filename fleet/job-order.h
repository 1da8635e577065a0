// Orders pending jobs by the cost of a further delay, the highest first.
#pragma once

#include <compare>
#include <cstdint>
#include <vector>

#include "base/clock.h"
#include "fleet/job-book.h"

namespace kestrelreel {

/// A job that ends after this multiple of its objective is of no use to its
/// caller any more.
constexpr int64_t late_factor = 3;

/// State of a pending job relative to its objective, in scheduling order. A job
/// that has missed its objective is worth little however soon it ends, so it
/// must not make others miss theirs.
enum class job_standing : uint8_t {
  /// Long-running, with interrupted tasks that have been pending for long.
  interrupted,
  /// Can still end within its objective; or gave way to others in overload,
  /// came to be late for it and goes first, so that its end is of use at least.
  /// That end is worth less than one in time, and others that could be in time
  /// may miss their objectives for it: one job at a time may cost them that.
  in_time,
  /// Long-running: the cost of a delay is proportional to its length.
  long_running,
  /// Could end within its objective, but only if more others did not.
  passed_over,
  /// Can still end within `late_factor` times its objective.
  late,
  /// Too late to be worth anything; a further delay costs nothing.
  overdue,
};

/// Name of the standing in logs.
const char* to_string(job_standing standing);

/// Sort key of pending jobs; the smallest goes first.
struct job_order {
  uint32_t priority = 0;
  job_standing standing = job_standing::in_time;
  /// Of an interrupted job, the processors of its smallest long-running task in
  /// thousandths, else 0: if capacity is short, more tasks serve when small
  /// ones go first.
  uint64_t task_cpu = 0;
  time_point deadline{};
  auto operator<=>(const job_order&) const = default;
};

/// Critical path of the estimates of the steps that are not done, or of all
/// steps with `whole`, by the state of the first repetition.
milliseconds critical_path_time(const job_entry& job, bool whole);

/// Time from acceptance within which a job with this critical path should end.
milliseconds objective_of(const fleet::queue_route& queue, milliseconds path);
/// The same by declared times.
milliseconds objective_of(const job_entry& job,
                          const fleet::queue_route& queue);

/// True if a step of the job is long-running.
bool is_long_running(const job_entry& job);
/// True if a step of the job is backfill.
bool has_backfill(const fleet::fleet_job_spec& job);
/// True for a pending task that has started before.
bool is_interrupted(const task_entry& task);
/// True if a pending task of the steps never started.
bool has_new_task(const std::vector<step_entry>& steps);
/// Extent of a job by declared times.
struct job_size {
  uint32_t widest_step = 0;  // In tasks.
  uint64_t core_ms = 0;      // Processor time of all its tasks.
};
job_size size_of(const fleet::fleet_job_spec& job);
/// Processors of the job's smallest long-running task, in thousandths.
uint64_t smallest_task_cpu(const job_entry& job);

/// Sort key at `now` of a job that was accepted at `accepted`, should end
/// within `objective` and still takes `path` if no task waits.
job_order order_of(const job_entry& job, const fleet::queue_route& queue,
                   milliseconds objective, milliseconds path,
                   time_point accepted, time_point now);
/// The same by declared times.
job_order order_of(const job_entry& job, const fleet::queue_route& queue,
                   time_point accepted, time_point now);

}  // namespace kestrelreel

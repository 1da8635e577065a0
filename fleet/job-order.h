// Which waiting job goes first: the one that a delay would cost most.
#pragma once

#include <compare>
#include <cstdint>

#include "base/clock.h"
#include "fleet/job-book.h"

namespace kestrelreel {

/// How a waiting job stands against its objective, in the order of service.
/// A job that has missed its objective is worth little however soon it ends, so
/// it must not make others miss theirs as well.
enum class job_standing : uint8_t {
  /// Its tasks serve; some of them were interrupted and have waited for long.
  interrupted,
  /// It can still end within its objective.
  in_time,
  /// Its tasks serve for as long as they run: a delay costs in proportion.
  long_running,
  /// It can still end within `late_factor` times its objective.
  late,
  /// Any time is as good as another.
  overdue,
};

/// The word that logs show.
const char* to_string(job_standing standing);

/// Sorts waiting jobs; the least goes first.
struct job_order {
  uint32_t priority = 0;
  job_standing standing = job_standing::in_time;
  /// Of a pressing job, its least task's processors: where there isn't room for
  /// all, more tasks serve when the small ones go first.
  uint64_t size = 0;
  time_point deadline{};
  auto operator<=>(const job_order&) const = default;
};

/// The longest chain of estimates over the steps that are not done, in ms; of
/// all steps with `whole`. The first time's steps count.
milliseconds critical_path_time(const job_entry& job, bool whole);

/// The time from a job's coming within which it should end.
milliseconds objective_of(const job_entry& job,
                          const fleet::queue_route& queue);

/// True for a task that waits and has begun before.
bool is_interrupted(const task_entry& task);
/// True when a task of the job is.
bool was_interrupted(const job_entry& job);
/// The processors of the job's smallest lasting task, in thousandths.
uint64_t smallest_task_cpu(const job_entry& job);

/// Where a job that came at `accepted` stands at `now`.
job_order order_of(const job_entry& job, const fleet::queue_route& queue,
                   time_point accepted, time_point now);

}  // namespace kestrelreel

#include "fleet/job-order.h"

#include <algorithm>
#include <vector>

namespace kestrelreel {
namespace detail {

bool is_done(const job_entry& job, size_t step) {
  if (job.times.empty()) return false;
  const step_entry& it = job.times.front()[step];
  return it.done >= it.tasks.size();
}

}  // namespace detail

bool is_long_running(const job_entry& job) {
  const auto& steps = job.spec.steps();
  return std::any_of(steps.begin(), steps.end(),
                     [](const auto& it) { return it.long_running(); });
}

bool has_backfill(const fleet::fleet_job_spec& job) {
  const auto& steps = job.steps();
  return std::any_of(steps.begin(), steps.end(),
                     [](const auto& it) { return it.fills(); });
}

const char* to_string(job_standing standing) {
  switch (standing) {
    case job_standing::interrupted:
      return "pressing";
    case job_standing::in_time:
      return "in-time";
    case job_standing::long_running:
      return "lasting";
    case job_standing::passed_over:
      return "passed-over";
    case job_standing::late:
      return "late";
    case job_standing::overdue:
      return "overdue";
  }
  return "unknown";
}

milliseconds critical_path_time(const job_entry& job, bool whole) {
  std::vector<uint64_t> ends;
  uint64_t longest = 0;
  for (const fleet::step_spec& it : job.spec.steps()) {
    uint64_t start = 0;
    for (const uint32_t on : it.depends_on()) {
      start = std::max(start, ends[on]);
    }
    const bool counts = whole || !detail::is_done(job, ends.size());
    ends.push_back(start + (counts ? it.estimate_ms() : 0));
    longest = std::max(longest, ends.back());
  }
  return milliseconds(static_cast<int64_t>(longest));
}

milliseconds objective_of(const fleet::queue_route& queue, milliseconds path) {
  const auto chain = static_cast<double>(path.count());
  return milliseconds(static_cast<int64_t>(queue.stretch() * chain)) +
         milliseconds(static_cast<int64_t>(queue.objective_ms()));
}

milliseconds objective_of(const job_entry& job,
                          const fleet::queue_route& queue) {
  return objective_of(queue, critical_path_time(job, true));
}

bool is_interrupted(const task_entry& task) {
  return task.phase == task_phase::waiting && task.run.value() > 0;
}

bool has_new_task(const std::vector<step_entry>& steps) {
  const auto is_new = [](const task_entry& it) {
    return it.phase == task_phase::waiting && !is_interrupted(it);
  };
  return std::any_of(steps.begin(), steps.end(), [&](const step_entry& it) {
    return std::any_of(it.tasks.begin(), it.tasks.end(), is_new);
  });
}

job_size size_of(const fleet::fleet_job_spec& job) {
  constexpr uint64_t milli = 1'000;
  job_size out;
  for (const fleet::step_spec& it : job.steps()) {
    out.widest_step = std::max(out.widest_step, it.count());
    out.core_ms += it.count() * it.cpu_milli() * it.estimate_ms() / milli;
  }
  return out;
}

uint64_t smallest_task_cpu(const job_entry& job) {
  uint64_t least = UINT64_MAX;
  for (const fleet::step_spec& it : job.spec.steps()) {
    if (it.long_running()) least = std::min(least, it.cpu_milli());
  }
  return least;
}

job_order order_of(const job_entry& job, const fleet::queue_route& queue,
                   milliseconds objective, milliseconds path,
                   time_point accepted, time_point now) {
  const time_point end = now + path;
  job_order order;
  order.priority = queue.priority();
  order.deadline = accepted + objective;
  if (is_long_running(job)) {
    order.standing = job_standing::long_running;
  } else if (end > accepted + late_factor * objective) {
    order.standing = job_standing::overdue;
  } else if (end > order.deadline) {
    order.standing = job_standing::late;
  }
  return order;
}

job_order order_of(const job_entry& job, const fleet::queue_route& queue,
                   time_point accepted, time_point now) {
  return order_of(job, queue, objective_of(job, queue),
                  critical_path_time(job, false), accepted, now);
}

}  // namespace kestrelreel

#include "scheduling/admission.h"

#include <algorithm>

#include "scheduling/work-time.h"

namespace kestrelreel {
namespace detail {

/// A caller needs a second to notice the rejection and to return.
constexpr milliseconds min_retry_after{1'000};
/// Longer predictions are guesses; the caller is better off asking again.
constexpr milliseconds max_retry_after{30'000};
/// A caller that is overdue by this has left.
constexpr milliseconds turn_grace{2'000};
/// Bounds the memory; callers beyond it get no turn.
constexpr size_t max_turns = 4'096;

}  // namespace detail

admission_control::turns& admission_control::current_turns(
    const std::string& pool, time_point now) {
  turns& all = turns_[pool];
  std::erase_if(
      all, [&](const turn& it) { return now - it.due >= detail::turn_grace; });
  return all;
}

/// Work of the rejected callers that come before this one: all of them for a
/// caller that comes anew.
double admission_control::work_promised(const turns& all, job_number before) {
  double work = 0;
  for (const turn& it : all) {
    if (it.job == before) break;
    work += it.work;
  }
  return work;
}

admission_decision admission_control::decide(const std::string& pool,
                                             const job_demand& job,
                                             const pool_backlog& backlog,
                                             time_point now) {
  admission_decision out;
  if (backlog.cores <= 0) return out;
  if (job.lasting_cores > 0) {
    out.admitted = job.lasting_cores <= backlog.lasting_cores_free;
    if (out.admitted) return out;
    out.cause = "no-capacity";
    out.retry_after = detail::max_retry_after;
    return out;
  }
  turns& all = current_turns(pool, now);
  const double ahead = backlog.work_ahead + work_promised(all, job.job);
  out.expected_end =
      std::max(job.path, time_for(ahead + job.work, backlog.cores));
  out.admitted = out.expected_end <= job.useful_for;
  std::erase_if(all, [&](const turn& it) { return it.job == job.job; });
  if (out.admitted) return out;
  out.cause = "overload";
  // When it returns, the job is measured anew, from then on.
  const milliseconds backlog_time = time_for(ahead + job.work, backlog.cores);
  out.retry_after =
      std::clamp(backlog_time - job.objective, detail::min_retry_after,
                 detail::max_retry_after);
  if (all.size() < detail::max_turns)
    all.push_back({job.job, job.work, now + out.retry_after});
  return out;
}

size_t admission_control::expected_callers(const std::string& pool,
                                           time_point now) {
  return current_turns(pool, now).size();
}

}  // namespace kestrelreel

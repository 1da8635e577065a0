#include "scheduling/admission.h"

#include <algorithm>

#include "scheduling/work-time.h"

namespace kestrelreel {
namespace detail {

/// A caller needs a second to notice the rejection and to return.
constexpr milliseconds min_retry_after{1'000};
/// Longer predictions are guesses: the caller is better off asking again, and
/// gets no turn.
constexpr milliseconds max_retry_after{30'000};
/// A caller that is overdue by this has left.
constexpr milliseconds turn_grace{2'000};
/// Bounds the memory; callers beyond it get no turn.
constexpr size_t max_turns = 4'096;

/// How long an end is of use: at least for the time that a pool without other
/// work takes, since waiting would not let the job end sooner.
milliseconds useful_time(const job_demand& job, double cores) {
  if (cores <= 0) return job.useful_for;
  return std::max(job.useful_for,
                  job.path + time_for(job.work, cores) + job.queue_objective);
}

/// A job that never ends can't wait for others of its kind to end, so nothing
/// tells when processors become free.
admission_decision decide_long_running(const job_demand& job,
                                       double cores_free) {
  admission_decision out;
  out.admitted = job.lasting_cores <= cores_free;
  if (out.admitted) return out;
  out.cause = "no-capacity";
  out.retry_after = std::clamp(job.objective, min_retry_after, max_retry_after);
  return out;
}

}  // namespace detail

admission_control::turns& admission_control::current_turns(
    const std::string& pool, time_point now) {
  turns& all = turns_[pool];
  std::erase_if(
      all, [&](const turn& it) { return now - it.due >= detail::turn_grace; });
  return all;
}

/// Work of the rejected callers of this kind that come before this one, all of
/// them for a caller that comes anew, and none of a less urgent priority.
admission_control::promised_work admission_control::promised_before(
    const turns& all, const job_demand& job, time_point due) {
  promised_work out;
  for (const turn& it : all) {
    if (it.job == job.job) break;
    if (it.backfill != job.backfill || it.priority > job.priority) continue;
    out.all += it.work;
    if (it.due < due) out.due += it.work;
  }
  return out;
}

/// A caller that was rejected before keeps its place.
void admission_control::keep_turn(turns& all, const turn& it) {
  const auto known = std::find_if(
      all.begin(), all.end(), [&](const turn& t) { return t.job == it.job; });
  if (known != all.end()) {
    *known = it;
  } else if (all.size() < detail::max_turns) {
    all.push_back(it);
  }
}

admission_decision admission_control::decide(const std::string& pool,
                                             const job_demand& job,
                                             const pool_backlog& backlog,
                                             time_point now) {
  if (!backlog.known) {
    forget(job.job);
    return {};
  }
  if (job.lasting_cores > 0)
    return detail::decide_long_running(job, backlog.lasting_cores_free);
  const auto end_after = [&](double ahead) {
    return std::max(job.path, time_for(ahead + job.work, backlog.cores));
  };
  turns& all = current_turns(pool, now);
  const promised_work promised =
      promised_before(all, job, now + end_after(backlog.work_ahead));
  admission_decision out;
  out.expected_end = end_after(backlog.work_ahead + promised.due);
  out.admitted = out.expected_end <= detail::useful_time(job, backlog.cores);
  if (out.admitted) {
    forget(job.job);
    return out;
  }
  out.cause = "overload";
  // When it returns, the job is measured anew, from then on.
  const milliseconds wait =
      time_for(backlog.work_ahead + promised.all + job.work, backlog.cores) -
      job.objective;
  out.retry_after =
      std::clamp(wait, detail::min_retry_after, detail::max_retry_after);
  if (wait > detail::max_retry_after) {
    forget(job.job);
  } else {
    keep_turn(all, {job.job, job.backfill, job.priority, job.work,
                    now + out.retry_after});
  }
  return out;
}

void admission_control::forget(job_number job) {
  for (auto& [pool, all] : turns_)
    std::erase_if(all, [&](const turn& it) { return it.job == job; });
}

size_t admission_control::expected_callers(const std::string& pool,
                                           time_point now) {
  return current_turns(pool, now).size();
}

}  // namespace kestrelreel

// Job submissions: validation, overload, and duplicate copies.
#include <utility>

#include "fleet/controller.h"
#include "fleet/queue-map.h"
#include "kernel/log.h"

namespace kestrelreel {
namespace detail {

constexpr const char* service_name = "controller";

}  // namespace detail

/// True when the book holds the job from the same host and path, even if its
/// queue is no longer configured: the caller would take "no such queue" for a
/// promise that the job never runs.
bool fleet_controller::is_known_submission(const fleet::job_call& call) const {
  const job_entry* job = book_.find(job_number(call.job()));
  return job != nullptr && matches_queue(job->queue, call.host(), call.path());
}

/// Gives a copy of a pending submission the same response as the first copy:
/// the caller would take a separate answer to one copy as the job's status.
bool fleet_controller::join_pending_submission(
    job_number job, const respond_function& respond) {
  const auto it = pending_submissions_.find(job);
  if (it == pending_submissions_.end()) return false;
  respond_function& pending = pending_responses_.at(it->second);
  pending = [first = std::move(pending),
             respond](const fleet::fleet_response& response) {
    first(response);
    respond(response);
  };
  return true;
}

void fleet_controller::commit_submission(fleet::fleet_command command,
                                         const respond_function& respond) {
  const job_number job(command.submit().job());
  pending_submissions_[job] =
      commit(std::move(command),
             [this, job, respond](const fleet::fleet_response& response) {
               pending_submissions_.erase(job);
               if (response.status() != fleet::fleet_ok)
                 scheduler_.drop_admitted(job);
               respond(response);
             });
}

uint64_t fleet_controller::live_tasks() const {
  uint64_t tasks = 0;
  for (const auto& [order, number] : book_.live()) {
    for (const auto& steps : book_.find(number)->times) {
      for (const step_entry& it : steps) tasks += it.tasks.size() - it.done;
    }
  }
  return tasks;
}

/// Refuses a job for which there is no memory, or none of use to its caller.
bool fleet_controller::refuse_if_overloaded(const fleet::job_call& call,
                                            const fleet::queue_route& queue,
                                            const respond_function& respond) {
  const job_number job(call.job());
  milliseconds retry_after = settings_.retry_after;
  const char* reason = "overload";
  const uint64_t tasks = live_tasks();
  if (tasks > settings_.max_live_tasks) {
    ++metrics_.counter("kestrelreel_jobs_refused_total", {{"cause", "memory"}});
    log_event(detail::service_name, log_level::warn, "job-refused")
        .with("job", to_text(job))
        .with("cause", "memory")
        .with("tasks-waiting", tasks);
  } else {
    const admission_decision it = review_admission(job, call.submit(), queue);
    if (it.admitted) return false;
    retry_after = it.retry_after;
    reason = it.cause;
  }
  auto response = make_response(fleet::fleet_refused, reason);
  response.set_retry_after_ms(static_cast<uint64_t>(retry_after.count()));
  respond(std::move(response));
  return true;
}

void fleet_controller::on_submit(const fleet::job_call& call,
                                 const fleet::queue_route& queue,
                                 const respond_function& respond) {
  if (book_.find(job_number(call.job())) != nullptr) {
    return respond(make_response(fleet::fleet_ok, "known-already"));
  }
  if (join_pending_submission(job_number(call.job()), respond)) return;
  const absl::Status validity = check_job(call.submit());
  if (!validity.ok()) {
    log_event(detail::service_name, log_level::warn, "job-invalid")
        .with("job", to_text(job_number(call.job())))
        .with("queue", queue.name())
        .with("error", validity.message());
    return respond(
        make_response(fleet::fleet_invalid, std::string(validity.message())));
  }
  if (refuse_if_overloaded(call, queue, respond)) return;
  fleet::fleet_command command;
  *command.mutable_submit() = call.submit();
  command.mutable_submit()->set_job(call.job());
  command.mutable_submit()->set_queue(queue.name());
  log_event(detail::service_name, log_level::info, "job-comes")
      .with("job", to_text(job_number(call.job())))
      .with("queue", queue.name())
      .with("steps", call.submit().steps_size());
  commit_submission(std::move(command), respond);
}

}  // namespace kestrelreel

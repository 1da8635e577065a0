#include "placement/task.h"
#include "base/text.h"

namespace kestrelreel {
namespace detail {

void add_service(const proto::service_spec& spec, const data_centre_id& here,
                 task_specs& tasks) {
  for (const proto::replica_count& part : spec.replicas()) {
    if (part.data_centre() != here.str()) continue;
    task_spec task;
    task.kind = spec.standing() ? task_class::standing : task_class::service;
    task.owner = spec.name();
    task.size = to_amount(spec.size());
    task.slots = spec.slots();
    task.connections = spec.connections();
    for (uint32_t i = 0; i < part.count(); ++i) {
      task.index = i;
      const task_id id(
          str_cat("service/", spec.name(), "/", here.str(), "/", i));
      tasks.emplace(id, task);
    }
  }
}

void add_job(const proto::job_spec& spec, const job_state& job,
             task_specs& tasks) {
  task_spec task;
  task.kind = spec.urgent() ? task_class::urgent : task_class::batch;
  task.owner = spec.name();
  task.priority = spec.priority();
  task.size = to_amount(spec.size());
  task.run_time = milliseconds(static_cast<int64_t>(spec.run_time_ms()));
  for (uint32_t i = 0; i < spec.tasks(); ++i) {
    if (job.done.contains(i)) continue;
    task.index = i;
    tasks.emplace(task_id(str_cat("job/", spec.name(), "/", i)), task);
  }
}

}  // namespace detail

task_specs tasks_of(const record_state& state, const data_centre_id& here) {
  task_specs tasks;
  for (const auto& [key, item] : state.items()) {
    if (item.has_service()) detail::add_service(item.service(), here, tasks);
    if (!item.has_job()) continue;
    const auto job = state.jobs().find(item.job().name());
    if (job == state.jobs().end()) continue;
    if (job->second.data_centre != here) continue;
    detail::add_job(item.job(), job->second, tasks);
  }
  return tasks;
}

}  // namespace kestrelreel

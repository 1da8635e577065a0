#include "placement/task.h"

#include "base/text.h"

namespace kestrelreel {
namespace detail {

void add_service(const proto::service_spec& spec, const data_centre_id& here,
                 task_specs& tasks) {
  auto shape = std::make_shared<task_shape>();
  shape->kind = spec.standing() ? task_class::standing : task_class::service;
  shape->owner = spec.name();
  shape->size = to_amount(spec.size());
  shape->slots = spec.slots();
  shape->connections = spec.connections();
  for (const proto::replica_count& part : spec.replicas()) {
    if (part.data_centre() != here.str()) continue;
    for (uint32_t i = 0; i < part.count(); ++i) {
      const task_id id(
          str_cat("service/", spec.name(), "/", here.str(), "/", i));
      tasks.emplace(id, task_spec{shape, i});
    }
  }
}

void add_job(const proto::job_spec& spec, const job_state& job,
             task_specs& tasks) {
  auto shape = std::make_shared<task_shape>();
  shape->kind = spec.urgent() ? task_class::urgent : task_class::batch;
  shape->owner = spec.name();
  shape->priority = spec.priority();
  shape->size = to_amount(spec.size());
  shape->run_time = milliseconds(static_cast<int64_t>(spec.run_time_ms()));
  for (uint32_t i = 0; i < spec.tasks(); ++i) {
    if (job.done.contains(i)) continue;
    const task_id id(str_cat("job/", spec.name(), "/", i));
    tasks.emplace(id, task_spec{shape, i});
  }
}

void add_item(const record_state& state, const proto::spec_item& item,
              const data_centre_id& here, task_specs& tasks) {
  if (item.has_service()) return add_service(item.service(), here, tasks);
  if (!item.has_job()) return;
  const auto job = state.jobs().find(item.job().name());
  if (job == state.jobs().end() || job->second.data_centre != here) return;
  add_job(item.job(), job->second, tasks);
}

}  // namespace detail

std::string task_prefix(const std::string& item_key) { return item_key + "/"; }

task_specs tasks_of_item(const record_state& state, const std::string& key,
                         const data_centre_id& here) {
  task_specs tasks;
  const auto item = state.items().find(key);
  if (item != state.items().end()) {
    detail::add_item(state, item->second, here, tasks);
  }
  return tasks;
}

task_specs tasks_of(const record_state& state, const data_centre_id& here) {
  task_specs tasks;
  for (const auto& [key, item] : state.items()) {
    detail::add_item(state, item, here, tasks);
  }
  return tasks;
}

}  // namespace kestrelreel

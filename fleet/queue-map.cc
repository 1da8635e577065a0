#include "fleet/queue-map.h"

#include <set>
#include <utility>

#include "base/text.h"

namespace kestrelreel {

bool matches_queue(const fleet::queue_route& queue, std::string_view host,
                   std::string_view path) {
  return queue.host() == host.substr(0, host.find(':')) &&
         path.starts_with(queue.path_prefix());
}

const fleet::queue_route* match_queue(const fleet::fleet_config& config,
                                      std::string_view host,
                                      std::string_view path) {
  const fleet::queue_route* best = nullptr;
  for (const fleet::queue_route& it : config.queues()) {
    if (!matches_queue(it, host, path)) continue;
    const bool longer =
        best == nullptr || it.path_prefix().size() > best->path_prefix().size();
    if (longer) best = &it;
  }
  return best;
}

absl::Status check_config(const fleet::fleet_config& config) {
  std::set<std::string> pools;
  for (const fleet::worker_pool& it : config.pools()) pools.insert(it.name());
  std::set<std::pair<std::string, std::string>> addresses;
  std::set<std::string> names;
  for (const fleet::queue_route& it : config.queues()) {
    const auto error = [&](std::string_view what) {
      return absl::InvalidArgumentError(
          str_cat("queue '", it.name(), "' ", what));
    };
    if (!pools.contains(it.pool())) return error("names an unknown pool");
    if (it.timeout_ms() == 0) return error("has a time limit of 0");
    if (!addresses.emplace(it.host(), it.path_prefix()).second) {
      return error("stands at the host and prefix of another queue");
    }
    if (!names.insert(it.name()).second) return error("stands twice");
  }
  if (config.version() == 0) {
    return absl::InvalidArgumentError("the version is missing");
  }
  return absl::OkStatus();
}

absl::Status check_job(const fleet::fleet_job_spec& spec) {
  // Limits the memory that a job can use.
  constexpr uint64_t max_tasks = 20'000;
  if (spec.steps_size() == 0) {
    return absl::InvalidArgumentError("the job has no step");
  }
  uint64_t tasks = 0;
  for (int i = 0; i < spec.steps_size(); ++i) {
    const fleet::step_spec& step = spec.steps(i);
    if (step.count() == 0) {
      return absl::InvalidArgumentError(str_cat("step ", i, " has no task"));
    }
    tasks += step.count();
    for (const uint32_t it : step.depends_on()) {
      if (it < static_cast<uint32_t>(i)) continue;
      return absl::InvalidArgumentError(
          str_cat("step ", i, " depends on step ", it, ", not an earlier one"));
    }
  }
  const uint64_t times = spec.times() == 0 ? 1 : spec.times();
  if (tasks > max_tasks || times > max_tasks || tasks * times > max_tasks) {
    return absl::InvalidArgumentError(
        str_cat("the job has more than ", max_tasks, " tasks"));
  }
  return absl::OkStatus();
}

}  // namespace kestrelreel

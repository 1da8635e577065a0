#include "placement/planner.h"

#include <algorithm>

namespace kestrelreel {
namespace detail {

bool allowed(const proto::job_spec& job, const data_centre_id& it) {
  const auto& names = job.data_centres();
  return names.empty() ||
         std::find(names.begin(), names.end(), it.str()) != names.end();
}

data_centre_rooms::iterator roomiest(const proto::job_spec& job,
                                     data_centre_rooms& rooms) {
  auto best = rooms.end();
  for (auto it = rooms.begin(); it != rooms.end(); ++it) {
    if (!allowed(job, it->first)) continue;
    if (best == rooms.end() || it->second.cpu > best->second.cpu) best = it;
  }
  return best;
}

}  // namespace detail

proto::delegation plan_jobs(const record_state& state,
                            data_centre_rooms rooms) {
  proto::delegation plan;
  std::erase_if(rooms,
                [&](const auto& it) { return state.evacuated(it.first); });
  for (const auto& [name, job] : state.jobs()) {
    if (!job.data_centre.empty()) continue;
    const auto item = state.items().find("job/" + name);
    if (item == state.items().end()) continue;
    const proto::job_spec& spec = item->second.job();
    const auto target = detail::roomiest(spec, rooms);
    if (target == rooms.end()) continue;
    auto& grant = *plan.add_grants();
    grant.set_job(name);
    grant.set_data_centre(target->first.str());
    resource_amount demand = to_amount(spec.size());
    demand.cpu.value *= spec.tasks();
    demand.memory.value *= spec.tasks();
    demand.accelerators.value *= spec.tasks();
    target->second -= demand;
  }
  return plan;
}

}  // namespace kestrelreel

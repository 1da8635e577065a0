#include "fleet/worker-load.h"

#include <algorithm>

namespace kestrelreel {
namespace detail {

/// Returns the entry of an image; adds one if there is none.
template <typename Entry>
Entry& entry_of(std::vector<Entry>& all, image_id image) {
  for (Entry& it : all) {
    if (it.image == image) return it;
  }
  return all.emplace_back(Entry{image});
}

}  // namespace detail

worker_capacity capacity_of(const fleet::worker_beat& beat) {
  return {beat.cpu_milli(), beat.memory_mb(), beat.accelerators()};
}

bool worker_load::fits_in(const worker_capacity& capacity) const {
  return cpu <= capacity.cpu_milli && memory_mb <= capacity.memory_mb &&
         accelerators <= capacity.accelerators;
}

void worker_load::add(const task_key& task, const fleet::step_spec& step,
                      image_id image) {
  if (step.fills()) {
    backfill_cpu += step.cpu_milli();
    detail::entry_of(fills, image).cpu_milli += step.cpu_milli();
  } else {
    cpu += step.cpu_milli();
  }
  if (step.target_ms() > 0) {
    serving_cpu += step.cpu_milli();
    ++detail::entry_of(serving, image).tasks;
  }
  memory_mb += step.memory_mb();
  accelerators += step.accelerators();
  const task_key first{task.job, task.time, task.step, 0};
  for (step_count& it : steps) {
    if (it.first != first) continue;
    ++it.tasks;
    return;
  }
  steps.push_back({first, 1});
}

uint32_t worker_load::tasks_of_step(const task_key& first) const {
  const auto it = std::find_if(steps.begin(), steps.end(),
                               [&](const auto& s) { return s.first == first; });
  return it == steps.end() ? 0 : it->tasks;
}

}  // namespace kestrelreel

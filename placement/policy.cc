#include "placement/policy.h"

#include <algorithm>
#include "base/text.h"

namespace kestrelreel {
namespace detail {

double share(uint64_t part, uint64_t whole) {
  if (whole == 0) return 0;
  return static_cast<double>(part) / static_cast<double>(whole);
}

/// The largest share of any one resource that stays free.
double free_share(const worker_room& room) {
  return std::max({share(room.free.cpu.value, room.capacity.cpu.value),
                   share(room.free.memory.value, room.capacity.memory.value)});
}

// A replica more on the same worker weighs above all of its load, one more in
// the same rack above half of it.
constexpr double same_worker_cost = 2.0;
constexpr double same_rack_cost = 0.5;
// Accelerators are kept for tasks that ask for them.
constexpr double idle_accelerator_cost = 1.0;

double accelerator_cost(const worker_room& room, const task_shape& task) {
  const bool wanted = task.size.accelerators.value > 0;
  const bool has = room.free.accelerators.value > 0;
  return has && !wanted ? idle_accelerator_cost : 0;
}

}  // namespace detail

double packing_policy::score(const worker_room& room,
                             const task_shape& task) const {
  return detail::free_share(room) + detail::accelerator_cost(room, task) +
         detail::same_worker_cost * room.replicas_here +
         detail::same_rack_cost * room.replicas_in_rack;
}

double least_loaded_policy::score(const worker_room& room,
                                  const task_shape& /*task*/) const {
  return -detail::free_share(room);
}

absl::StatusOr<std::unique_ptr<placement_policy>> make_policy(
    std::string_view name) {
  if (name == "packing") return std::make_unique<packing_policy>();
  if (name == "least-loaded") return std::make_unique<least_loaded_policy>();
  return absl::InvalidArgumentError(str_cat(
      "placement policy '", name, "' is not one of packing, least-loaded"));
}

}  // namespace kestrelreel

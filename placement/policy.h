// Which of the workers with room a task goes to.
#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

#include "absl/status/statusor.h"
#include "placement/task.h"

namespace kestrelreel {

/// A worker as a policy sees it. The task fits into `free`.
struct worker_room {
  resource_amount capacity;
  resource_amount free;
  /// Replicas of the task's service on the worker and in its rack.
  uint32_t replicas_here = 0;
  uint32_t replicas_in_rack = 0;
};

/// A way of choosing. The worker with the lowest score is taken.
class placement_policy {
 public:
  virtual ~placement_policy() = default;
  virtual double score(const worker_room& room,
                       const task_shape& task) const = 0;
};

/// Takes the fullest worker that has room, so that large tasks find room
/// elsewhere; spreads the replicas of a service over workers and racks.
class packing_policy final : public placement_policy {
 public:
  double score(const worker_room& room, const task_shape& task) const override;
};

/// Takes the emptiest worker; a baseline.
class least_loaded_policy final : public placement_policy {
 public:
  double score(const worker_room& room, const task_shape& task) const override;
};

/// The policy of that name: `packing` or `least-loaded`.
absl::StatusOr<std::unique_ptr<placement_policy>> make_policy(
    std::string_view name);

}  // namespace kestrelreel

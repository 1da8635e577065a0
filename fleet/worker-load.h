// Capacity of a worker, and the load that its runs place on it.
#pragma once

#include <cstdint>
#include <vector>

#include "fleet/interference.h"
#include "fleet/task-key.h"
#include "proto/fleet.pb.h"

namespace kestrelreel {

/// Total or free capacity of a worker.
struct worker_capacity {
  uint64_t cpu_milli = 0;
  uint64_t memory_mb = 0;
  uint64_t accelerators = 0;

  bool operator==(const worker_capacity&) const = default;
};

/// The capacity that a worker reports; it may shrink and grow.
worker_capacity capacity_of(const fleet::worker_beat& beat);

/// Capacity used by all runs that may be alive on a worker. Uses lists instead
/// of maps: a worker runs about 20 tasks, and placing a step scans all workers.
struct worker_load {
  /// Processors of all tasks except backfill tasks, in thousandths.
  uint64_t cpu = 0;
  /// Processors of serving tasks, which have a latency target, in thousandths.
  uint64_t serving_cpu = 0;
  /// Processors that backfill tasks request, in thousandths.
  uint64_t backfill_cpu = 0;
  uint64_t memory_mb = 0;
  uint64_t accelerators = 0;

  struct step_count {
    task_key first;
    uint32_t tasks = 0;
  };
  struct image_count {
    image_id image;
    uint32_t tasks = 0;
  };
  struct image_cpu {
    image_id image;
    uint64_t cpu_milli = 0;
  };
  /// Tasks by job, repetition and step; serving tasks by image; processors of
  /// backfill tasks by image.
  std::vector<step_count> steps;
  std::vector<image_count> serving;
  std::vector<image_cpu> fills;

  void add(const task_key& task, const fleet::step_spec& step, image_id image);
  /// True when the load does not exceed the capacity.
  bool fits_in(const worker_capacity& capacity) const;
  /// Number of tasks of a step, which is named by its first task.
  uint32_t tasks_of_step(const task_key& first) const;
};

}  // namespace kestrelreel

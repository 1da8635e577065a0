// What is taken of one worker.
#pragma once

#include <cstdint>
#include <vector>

#include "fleet/interference.h"
#include "fleet/task-key.h"
#include "proto/fleet.pb.h"

namespace kestrelreel {

/// What a worker has, or what is taken of it.
struct worker_room {
  uint64_t cpu_milli = 0;
  uint64_t memory_mb = 0;
  uint64_t accelerators = 0;

  bool operator==(const worker_room&) const = default;
};

/// The room that the worker says it has; it may shrink and grow.
worker_room room_of(const fleet::worker_beat& beat);

/// What is taken of one worker, by all runs that may be alive there. Lists, not
/// maps: a worker holds some 20 tasks, and each step that is placed looks at
/// all workers.
struct worker_load {
  /// Processors of tasks whose share is counted.
  uint64_t cpu = 0;
  /// The part of it that serves users of its own.
  uint64_t serving_cpu = 0;
  /// Processors that fill tasks would use.
  uint64_t fill_cpu = 0;
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
  /// Tasks by job, time and step; serving tasks by image; the processors of
  /// fill tasks by image.
  std::vector<step_count> steps;
  std::vector<image_count> serving;
  std::vector<image_cpu> fills;

  void add(const task_key& task, const fleet::step_spec& step, image_id image);
  /// True when no more is taken than the room.
  bool fits_in(const worker_room& room) const;
  /// How many tasks of that step, named by its first task, are there.
  uint32_t of_step(const task_key& first) const;
};

}  // namespace kestrelreel

// What is taken of one worker.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "fleet/task-key.h"
#include "proto/fleet.pb.h"

namespace kestrelreel {

/// What is taken of one worker, by all runs that may be alive there.
struct worker_load {
  /// Processors of tasks whose share is counted.
  uint64_t cpu = 0;
  /// The part of it that serves users of its own.
  uint64_t serving_cpu = 0;
  /// Processors that fill tasks would use.
  uint64_t fill_cpu = 0;
  uint64_t memory_mb = 0;
  uint64_t accelerators = 0;
  /// Tasks by job, time and step.
  std::map<task_key, uint32_t> steps;
  /// Serving tasks by image, and the processors of fill tasks by image.
  std::map<std::string, uint32_t> serving;
  std::map<std::string, uint64_t> fills;

  void add(const task_key& task, const fleet::step_spec& step);
};

}  // namespace kestrelreel

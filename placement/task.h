// What a task is, where tasks come from, and what a worker looks like.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "base/units.h"
#include "record/record-state.h"

namespace kestrelreel {

/// Order in which tasks that wait are started; the lowest first.
enum class task_class {
  /// A listener that must stand at all times.
  standing,
  /// A replica of a service that answers callers.
  service,
  /// Batch work that must start within seconds.
  urgent,
  batch,
};

/// A task that should run in this data centre.
struct task_spec {
  task_class kind = task_class::batch;
  /// Name of the service or job.
  std::string owner;
  /// Index within the job, or of the replica.
  uint32_t index = 0;
  uint32_t priority = 0;
  resource_amount size;
  milliseconds run_time{};
  uint32_t slots = 0;
  uint32_t connections = 0;

  bool is_service() const {
    return kind == task_class::standing || kind == task_class::service;
  }
  bool operator==(const task_spec&) const = default;
};

/// Tasks by id.
using task_specs = std::map<task_id, task_spec>;

/// The tasks that the record wants in a data centre now: the replicas of its
/// services and the unfinished tasks of the jobs given to it.
task_specs tasks_of(const record_state& state, const data_centre_id& here);

/// A worker as the platform lists it.
struct worker_info {
  worker_id id;
  /// Where its agent listens, `IP:PORT`.
  std::string address;
  std::string rack;
  resource_amount capacity;
  bool leaving = false;
};

}  // namespace kestrelreel

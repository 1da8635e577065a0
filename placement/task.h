// What a task is, where tasks come from, and what a worker looks like.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
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

/// What all tasks of one service or job have in common.
struct task_shape {
  task_class kind = task_class::batch;
  /// Name of the service or job.
  std::string owner;
  uint32_t priority = 0;
  resource_amount size;
  milliseconds run_time{};
  uint32_t slots = 0;
  uint32_t connections = 0;

  bool is_service() const {
    return kind == task_class::standing || kind == task_class::service;
  }
  bool operator==(const task_shape&) const = default;
};

/// A task that should run in this data centre.
struct task_spec {
  std::shared_ptr<const task_shape> shape;
  /// Index within the job, or of the replica.
  uint32_t index = 0;

  bool operator==(const task_spec& other) const {
    return index == other.index && *shape == *other.shape;
  }
};

/// Tasks by id.
using task_specs = std::map<task_id, task_spec>;

/// What the ids of a service's or job's tasks begin with: its key in the
/// desired state and a slash.
std::string task_prefix(const std::string& item_key);

/// The tasks that the record wants of one item in a data centre now: the
/// replicas of a service, or the unfinished tasks of a job given to it.
task_specs tasks_of_item(const record_state& state, const std::string& key,
                         const data_centre_id& here);
/// The tasks of all items.
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

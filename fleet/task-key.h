// Identifiers of a task in a job of steps, and of a run of the task.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "proto/fleet.pb.h"

namespace kestrelreel {

/// Number of a start of a task; the first is 1.
using run_number = strong_count<struct run_number_tag>;

/// Identifies a task: a job's steps are repeated `times` times, each step with
/// `count` tasks.
struct task_key {
  job_number job;
  uint32_t time = 0;
  uint32_t step = 0;
  uint32_t index = 0;
  auto operator<=>(const task_key&) const = default;
};

/// Identifies a run of a task.
struct run_key {
  task_key task;
  run_number run;
  auto operator<=>(const run_key&) const = default;
};

/// Converts between a message's task and a key.
task_key to_key(const fleet::task_ref& ref);
fleet::task_ref to_ref(const task_key& key);
/// Formats a job for logs: 16 hex digits.
std::string to_text(job_number job);
/// Formats a task for logs: `JOB.TIME.STEP.INDEX`.
std::string to_text(const task_key& key);
/// Formats a run for logs: `TASK/RUN`.
std::string to_text(const run_key& run);
/// Formats runs as one value of a log line, such as `TASK/1,TASK/2`; truncates
/// long lists.
std::string to_text(const std::vector<run_key>& runs);

}  // namespace kestrelreel

// The name of one task of a job of steps, and of one run of it.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "proto/fleet.pb.h"

namespace kestrelreel {

/// The identity of a job, chosen by the caller.
using job_number = strong_count<struct job_number_tag>;
/// Which start of a task it is; the first has 1.
using run_number = strong_count<struct run_number_tag>;

/// One task: a job's step is run `times` over, each time with `count` tasks.
struct task_key {
  job_number job;
  uint32_t time = 0;
  uint32_t step = 0;
  uint32_t index = 0;
  auto operator<=>(const task_key&) const = default;
};

/// One run of a task.
struct run_key {
  task_key task;
  run_number run;
  auto operator<=>(const run_key&) const = default;
};

/// The key of a message's task, and the message of a key.
task_key to_key(const fleet::task_ref& ref);
fleet::task_ref to_ref(const task_key& key);
/// The job as logs show it: 16 hex digits.
std::string to_text(job_number job);
/// The task as logs show it: `JOB.TIME.STEP.INDEX`.
std::string to_text(const task_key& key);
/// The run as logs show it: `TASK/RUN`.
std::string to_text(const run_key& run);
/// The runs as one value of a log line, such as `TASK/1,TASK/2`; a long list is
/// cut off.
std::string to_text(const std::vector<run_key>& runs);

}  // namespace kestrelreel

#include "fleet/task-key.h"

#include "base/text.h"

namespace kestrelreel {

task_key to_key(const fleet::task_ref& ref) {
  return {job_number(ref.job()), ref.time(), ref.step(), ref.index()};
}

fleet::task_ref to_ref(const task_key& key) {
  fleet::task_ref ref;
  ref.set_job(key.job.value());
  ref.set_time(key.time);
  ref.set_step(key.step);
  ref.set_index(key.index);
  return ref;
}

std::string to_text(job_number job) {
  return str_cat(absl::Hex(job.value(), absl::kZeroPad16));
}

std::string to_text(const task_key& key) {
  return str_cat(to_text(key.job), ".", key.time, ".", key.step, ".",
                 key.index);
}

}  // namespace kestrelreel

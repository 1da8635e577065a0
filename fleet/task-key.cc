#include "fleet/task-key.h"

#include "base/text.h"

namespace kestrelreel {
namespace detail {

/// Maximum number of runs in one log line, which bounds the line's length.
constexpr size_t max_listed_runs = 32;

}  // namespace detail

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

std::string to_text(const run_key& run) {
  return str_cat(to_text(run.task), "/", run.run.value());
}

std::string to_text(const std::vector<run_key>& runs) {
  std::string out;
  for (size_t i = 0; i < runs.size(); ++i) {
    if (i == detail::max_listed_runs) return str_cat(out, ",...");
    str_append(out, out.empty() ? "" : ",", to_text(runs[i]));
  }
  return out;
}

}  // namespace kestrelreel

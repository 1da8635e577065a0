// The crash records of tasks in the replicated state.
#include <algorithm>

#include "fleet/job-book.h"

namespace kestrelreel {

crash_record job_book::crash_of(const task_key& task) const {
  if (suspects_.empty()) return {};
  const task_entry* it = find(task);
  return it == nullptr ? crash_record() : it->crash;
}

bool job_book::is_suspect(const task_key& task) const {
  return crash_of(task).crashes > 0;
}

void job_book::record_sighting(const fleet::run_sighting& it) {
  const run_key run{to_key(it.task()), run_number(it.run())};
  if (it.progress() == fleet::run_harmless) return clear_crashes(run);
  task_entry* task = find_task(run.task);
  if (task == nullptr || task->crash.crashes == 0) return;
  crash_record& crash = task->crash;
  crash.ordered = std::max(crash.ordered, run.run);
  if (it.progress() == fleet::run_listed) {
    crash.listed = std::max(crash.listed, run.run);
  }
}

void job_book::clear_crashes(const run_key& run) {
  task_entry* task = find_task(run.task);
  if (task == nullptr || run.run <= task->crash.run) return;
  task->crash = {};
  suspects_.erase(run.task);
}

/// A crash may be detected only after the run was declared lost and another
/// one started.
void job_book::count_crash(const run_key& run, uint32_t evidence, result& out) {
  task_entry* task = find_task(run.task);
  if (task == nullptr || task->phase == task_phase::done) return;
  crash_record& crash = task->crash;
  if (run.run <= crash.run || run.run > task->run) return;
  ++crash.crashes;
  crash.evidence += evidence;
  crash.run = run.run;
  suspects_.insert(run.task);
  if (crash.evidence < crash_evidence_limit) return;
  out.crashing.push_back({run.task, crash});
  finish(jobs_.at(run.task.job), fleet::job_failed);
}

}  // namespace kestrelreel

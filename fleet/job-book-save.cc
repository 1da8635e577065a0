// Serializes and loads the replicated state, for snapshots.
#include <algorithm>
#include <utility>

#include "base/text.h"
#include "fleet/job-book.h"
#include "fleet/queue-map.h"

namespace kestrelreel {
namespace detail {

bool is_untouched(const task_entry& it) {
  return it.phase == task_phase::waiting && it.run.value() == 0;
}

void save_tasks(const step_entry& step, fleet::saved_step& out) {
  for (size_t i = 0; i < step.tasks.size(); ++i) {
    const task_entry& it = step.tasks[i];
    if (is_untouched(it)) continue;
    fleet::saved_task& task = *out.add_tasks();
    task.set_index(static_cast<uint32_t>(i));
    task.set_run(static_cast<uint32_t>(it.run.value()));
    task.set_failures(it.failures);
    task.set_phase(static_cast<uint32_t>(it.phase));
    task.set_worker(it.worker.str());
    task.set_saved(it.saved);
    task.set_crashes(it.crash.crashes);
    task.set_crash_evidence(it.crash.evidence);
    task.set_crashed_run(static_cast<uint32_t>(it.crash.run.value()));
    task.set_ordered_run(static_cast<uint32_t>(it.crash.ordered.value()));
    task.set_listed_run(static_cast<uint32_t>(it.crash.listed.value()));
  }
}

using saved_runs = google::protobuf::RepeatedPtrField<fleet::run_start>;
using runs_by_worker = std::map<worker_id, std::set<run_key>>;

void save_runs(const runs_by_worker& from, saved_runs& out) {
  for (const auto& [worker, runs] : from) {
    for (const run_key& it : runs) {
      fleet::run_start& run = *out.Add();
      *run.mutable_task() = to_ref(it.task);
      run.set_run(static_cast<uint32_t>(it.run.value()));
      run.set_worker(worker.str());
    }
  }
}

template <typename Runs>
void load_runs(const saved_runs& from, Runs& out) {
  for (const fleet::run_start& it : from) {
    out[worker_id(it.worker())].insert(
        {to_key(it.task()), run_number(it.run())});
  }
}

absl::Status corrupt(job_number job, const char* what) {
  return absl::DataLossError(
      str_cat("the saved state of job ", to_text(job), " names ", what));
}

void load_task(const fleet::saved_task& from, step_entry& step) {
  task_entry& task = step.tasks[from.index()];
  task.phase = static_cast<task_phase>(from.phase());
  task.run = run_number(from.run());
  task.failures = from.failures();
  task.worker = worker_id(from.worker());
  task.saved = from.saved();
  task.crash.crashes = from.crashes();
  task.crash.evidence = from.crash_evidence();
  task.crash.run = run_number(from.crashed_run());
  task.crash.ordered = run_number(from.ordered_run());
  task.crash.listed = run_number(from.listed_run());
  if (task.phase == task_phase::done) ++step.done;
  if (task.phase == task_phase::running) ++step.running;
}

/// An older version kept the crashes under all members of a gang as those of
/// its first task: which members they were under is unknown.
void forget_gang_crashes(fleet::fleet_snapshot& in) {
  for (fleet::saved_job& job : *in.mutable_jobs()) {
    for (fleet::saved_step& step : *job.mutable_steps()) {
      const auto n = static_cast<int>(step.step());
      if (n >= job.spec().steps_size() || !job.spec().steps(n).gang()) continue;
      for (fleet::saved_task& it : *step.mutable_tasks()) {
        it.clear_crashes();
        it.clear_crash_evidence();
        it.clear_crashed_run();
        it.clear_ordered_run();
        it.clear_listed_run();
      }
    }
  }
}

}  // namespace detail

fleet::saved_job job_book::save_job(const job_entry& job) const {
  fleet::saved_job out;
  *out.mutable_spec() = job.spec;
  *out.mutable_queue() = job.queue;
  out.set_phase(job.phase);
  out.set_begun(job.begun);
  out.set_order(job.order);
  for (size_t time = 0; time < job.times.size(); ++time) {
    for (size_t step = 0; step < job.times[time].size(); ++step) {
      fleet::saved_step it;
      detail::save_tasks(job.times[time][step], it);
      it.set_time(static_cast<uint32_t>(time));
      it.set_step(static_cast<uint32_t>(step));
      const uint32_t n = job.times[time][step].gang_failures;
      it.set_gang_failures(n);
      if (it.tasks_size() > 0 || n > 0) *out.add_steps() = std::move(it);
    }
  }
  return out;
}

std::string job_book::save() const {
  fleet::fleet_snapshot out;
  *out.mutable_config() = config_;
  std::vector<job_number> numbers;
  numbers.reserve(jobs_.size());
  for (const auto& [number, job] : jobs_) numbers.push_back(number);
  std::sort(numbers.begin(), numbers.end());
  for (const job_number it : numbers) *out.add_jobs() = save_job(jobs_.at(it));
  const std::map<worker_id, uint64_t> ends(last_ends_.begin(),
                                           last_ends_.end());
  for (const auto& [worker, n] : ends) {
    // Written below with the workers that left, so that equal states produce
    // equal bytes.
    if (n == 0 && left_.contains(worker)) continue;
    fleet::saved_worker& it = *out.add_workers();
    it.set_worker(worker.str());
    it.set_last_end(n);
    it.set_left(left_.contains(worker));
  }
  for (const worker_id& worker : left_) {
    if (last_end(worker) > 0) continue;
    fleet::saved_worker& it = *out.add_workers();
    it.set_worker(worker.str());
    it.set_left(true);
  }
  // Runs of ended jobs stay alive until their workers list the end.
  detail::save_runs({runs_.begin(), runs_.end()}, *out.mutable_alive());
  detail::save_runs(lapsed_, *out.mutable_lapsed());
  for (const run_key& it : lost_) {
    fleet::run_name& run = *out.add_lost();
    *run.mutable_task() = to_ref(it.task);
    run.set_run(static_cast<uint32_t>(it.run.value()));
  }
  for (const job_number it : cancelled_early_) {
    out.add_cancelled_early(it.value());
  }
  for (const auto& [worker, place] : places_) *out.add_places() = place;
  evacuations_.save(out);
  out.set_next_order(next_order_);
  out.set_crashes_by_member(true);
  return out.SerializeAsString();
}

absl::Status job_book::load_job(const fleet::saved_job& it) {
  // An ended job has neither the tasks of its steps nor its text.
  const job_number saved_number(it.spec().job());
  const bool valid = check_job(it.spec()).ok();
  if (!valid) return detail::corrupt(saved_number, "invalid steps");
  job_entry job;
  job.spec = it.spec();
  job.queue = it.queue();
  job.phase = it.phase();
  job.begun = it.begun();
  job.order = it.order();
  const job_number number(job.spec.job());
  put_job(std::move(job));
  job_entry& stored = jobs_.at(number);
  for (const fleet::saved_step& saved : it.steps()) {
    if (saved.time() >= stored.times.size() ||
        saved.step() >= stored.times[saved.time()].size()) {
      return detail::corrupt(number, "a step that it does not have");
    }
    step_entry& step = stored.times[saved.time()][saved.step()];
    step.gang_failures = saved.gang_failures();
    for (const fleet::saved_task& from : saved.tasks()) {
      if (from.index() >= step.tasks.size() ||
          from.phase() > static_cast<uint32_t>(task_phase::done)) {
        return detail::corrupt(number, "a task that it does not have");
      }
      detail::load_task(from, step);
      if (from.crashes() > 0) {
        suspects_.insert({number, saved.time(), saved.step(), from.index()});
      }
    }
  }
  return absl::OkStatus();
}

absl::Status job_book::load_state(const fleet::fleet_snapshot& in) {
  if (in.has_config()) put_config(in.config());
  for (const fleet::saved_job& it : in.jobs()) {
    const absl::Status status = load_job(it);
    if (!status.ok()) return status;
  }
  for (const fleet::saved_worker& it : in.workers()) {
    const worker_id worker(it.worker());
    if (it.left()) left_.insert(worker);
    if (it.last_end() > 0 || !it.left()) last_ends_[worker] = it.last_end();
  }
  detail::load_runs(in.alive(), runs_);
  detail::load_runs(in.lapsed(), lapsed_);
  for (const fleet::run_name& it : in.lost()) {
    lost_.insert({to_key(it.task()), run_number(it.run())});
  }
  for (const uint64_t it : in.cancelled_early()) {
    cancelled_early_.insert(job_number(it));
  }
  for (const fleet::worker_place& it : in.places()) {
    places_[worker_id(it.worker())] = it;
  }
  evacuations_.load(in);
  next_order_ = in.next_order();
  return absl::OkStatus();
}

absl::Status job_book::load(const std::string& bytes) {
  fleet::fleet_snapshot in;
  if (!in.ParseFromString(bytes)) {
    return absl::DataLossError("the saved state can't be parsed");
  }
  if (!in.crashes_by_member()) detail::forget_gang_crashes(in);
  job_book loaded;
  const absl::Status status = loaded.load_state(in);
  if (status.ok()) *this = std::move(loaded);
  return status;
}

}  // namespace kestrelreel

#include "fleet/job-book.h"

#include <algorithm>
#include <utility>

namespace kestrelreel {
namespace detail {

/// True when a run with this outcome executed on a worker that survived it.
/// Members of a gang that still wait for the others have not executed.
bool rules_out_crash(fleet::run_outcome outcome, const fleet::step_spec* step) {
  if (outcome == fleet::run_refused) return false;
  const bool gang = step != nullptr && step->gang();
  return !gang || outcome == fleet::run_done || outcome == fleet::run_failed;
}

}  // namespace detail

const job_entry* job_book::find(job_number job) const {
  const auto it = jobs_.find(job);
  return it == jobs_.end() ? nullptr : &it->second;
}

const task_entry* job_book::find(const task_key& key) const {
  const job_entry* job = find(key.job);
  if (job == nullptr || key.time >= job->times.size()) return nullptr;
  const auto& steps = job->times[key.time];
  if (key.step >= steps.size()) return nullptr;
  const auto& tasks = steps[key.step].tasks;
  return key.index < tasks.size() ? &tasks[key.index] : nullptr;
}

task_entry* job_book::find_task(const task_key& key) {
  return const_cast<task_entry*>(std::as_const(*this).find(key));
}

const fleet::step_spec* job_book::find_step(const task_key& key) const {
  const job_entry* job = find(key.job);
  if (job == nullptr) return nullptr;
  const auto step = static_cast<int>(key.step);
  return step < job->spec.steps_size() ? &job->spec.steps(step) : nullptr;
}

const fleet::queue_route& job_book::queue_of(const job_entry& job) const {
  const auto it = queues_.find(job.queue.name());
  if (it == queues_.end()) return job.queue;
  return config_.queues(static_cast<int>(it->second));
}

const std::set<run_key>& job_book::runs_on(const worker_id& worker) const {
  static const std::set<run_key> none;
  const auto it = runs_.find(worker);
  return it == runs_.end() ? none : it->second;
}

uint64_t job_book::last_end(const worker_id& worker) const {
  const auto it = last_ends_.find(worker);
  return it == last_ends_.end() ? 0 : it->second;
}

bool job_book::dependencies_done(const job_entry& job, uint32_t time,
                                 uint32_t step) const {
  const auto& steps = job.times[time];
  for (const uint32_t it :
       job.spec.steps(static_cast<int>(step)).depends_on()) {
    if (it >= steps.size()) return false;
    if (steps[it].done < steps[it].tasks.size()) return false;
  }
  return true;
}

bool is_supported_command(const fleet::fleet_command& command) {
  if (!command.has_batch()) {
    return command.body_case() != fleet::fleet_command::BODY_NOT_SET;
  }
  const auto& all = command.batch().commands();
  return std::all_of(all.begin(), all.end(), is_supported_command);
}

job_book::result job_book::apply(const fleet::fleet_command& command) {
  switch (command.body_case()) {
    case fleet::fleet_command::kConfig:
      return put_config(command.config());
    case fleet::fleet_command::kSubmit:
      return submit(command.submit());
    case fleet::fleet_command::kCancel:
      return cancel(command.cancel());
    case fleet::fleet_command::kStarts:
      return start(command.starts());
    case fleet::fleet_command::kReport:
      return report(command.report());
    case fleet::fleet_command::kLoss:
      return declare_lost(command.loss());
    case fleet::fleet_command::kForget:
      return forget(command.forget());
    case fleet::fleet_command::kBatch:
      return apply_batch(command.batch());
    case fleet::fleet_command::kLeave:
      return leave(command.leave());
    case fleet::fleet_command::kEvacuation:
      evacuations_.apply(command.evacuation());
      return {};
    case fleet::fleet_command::BODY_NOT_SET:
      break;
  }
  return {fleet::fleet_invalid, "a command of a newer version"};
}

/// Returns the result of the last command. Code that needs the result of each
/// command applies them one by one.
job_book::result job_book::apply_batch(const fleet::command_batch& batch) {
  result last;
  for (const fleet::fleet_command& it : batch.commands()) last = apply(it);
  return last;
}

/// The highest version is in force; any other is acknowledged and ignored.
job_book::result job_book::put_config(const fleet::fleet_config& config) {
  if (config.version() <= config_.version()) return {};
  config_ = config;
  queues_.clear();
  for (int i = 0; i < config_.queues_size(); ++i) {
    queues_[config_.queues(i).name()] = static_cast<size_t>(i);
  }
  return {};
}

job_book::result job_book::submit(const fleet::fleet_job_spec& spec) {
  if (jobs_.contains(job_number(spec.job()))) return {};
  const auto queue = queues_.find(spec.queue());
  if (queue == queues_.end()) return {fleet::fleet_no_queue, "no such queue"};
  job_entry job;
  job.spec = spec;
  job.queue = config_.queues(static_cast<int>(queue->second));
  job.order = next_order_++;
  if (cancelled_early_.erase(job_number(spec.job())) > 0) {
    job.phase = fleet::job_canceled;
    job.spec.clear_text();
  }
  put_job(std::move(job));
  return {};
}

void job_book::put_job(job_entry job) {
  if (job.live()) {
    job.times.resize(std::max(1u, job.spec.times()));
    for (auto& steps : job.times) {
      for (const fleet::step_spec& it : job.spec.steps()) {
        steps.emplace_back().tasks.resize(it.count());
      }
    }
    live_[job.order] = job_number(job.spec.job());
  }
  const job_number number(job.spec.job());
  jobs_.insert_or_assign(number, std::move(job));
}

job_book::result job_book::cancel(const fleet::job_list& jobs) {
  for (const uint64_t it : jobs.jobs()) {
    const auto found = jobs_.find(job_number(it));
    if (found == jobs_.end()) {
      cancelled_early_.insert(job_number(it));
      return {fleet::fleet_no_job, "no such job"};
    }
    if (found->second.live()) finish(found->second, fleet::job_canceled);
  }
  return {};
}

job_book::result job_book::start(const fleet::run_starts& starts) {
  for (const fleet::worker_place& it : starts.places()) {
    places_[worker_id(it.worker())] = it;
  }
  for (const fleet::run_start& it : starts.starts()) apply_start(it);
  return {};
}

/// Ignores a start that is no longer valid, such as one of a job that was
/// cancelled in the meantime.
void job_book::apply_start(const fleet::run_start& it) {
  const run_key run{to_key(it.task()), run_number(it.run())};
  task_entry* task = find_task(run.task);
  if (task == nullptr || task->phase != task_phase::waiting) return;
  job_entry& job = jobs_.at(run.task.job);
  if (!job.live() || run.run <= task->run) return;
  task->phase = task_phase::running;
  task->run = run.run;
  task->worker = worker_id(it.worker());
  lapsed_.erase(task->worker);
  ++job.times[run.task.time][run.task.step].running;
  job.begun = true;
  job.phase = fleet::job_running;
  runs_[task->worker].insert(run);
}

job_book::result job_book::report(const fleet::worker_report& report) {
  const worker_id worker(report.worker());
  lapsed_.erase(worker);
  uint64_t& last = last_ends_[worker];
  result out;
  for (const fleet::run_end& it : report.ends()) {
    if (it.number() <= last) continue;
    last = it.number();
    report_end(worker, it, out);
  }
  for (const auto& it : report.sightings()) record_sighting(it);
  return out;
}

void job_book::report_end(const worker_id& worker, const fleet::run_end& end,
                          result& out) {
  const run_key run{to_key(end.task()), run_number(end.run())};
  const task_entry* task = find(run.task);
  const bool late =
      task != nullptr && task->run > run.run && !runs_on(worker).contains(run);
  late_end it{run, end.outcome(), {}, {}, false};
  if (late) {
    it.later_run = task->run;
    it.later_worker = task->worker;
  }
  it.counted = close_run(worker, run, end.outcome(), end.saved());
  lost_.erase(run);
  if (late) out.late_ends.push_back(std::move(it));
  if (detail::rules_out_crash(end.outcome(), find_step(run.task)))
    clear_crashes(run);
}

/// A successful end that arrives after its run was declared lost counts as long
/// as the task is not done. A later run of the task is then no longer current,
/// so that it is not started and is stopped where it runs. A failure counts as
/// an attempt.
bool job_book::counts_late(const run_key& run, fleet::run_outcome outcome,
                           const task_entry& task) const {
  if (outcome == fleet::run_failed)
    return task.phase != task_phase::done && lost_.contains(run);
  if (outcome != fleet::run_done || run.run > task.run) return false;
  return task.phase == task_phase::waiting ||
         (task.phase == task_phase::running && lost_.contains(run));
}

/// Returns false if the end has no effect.
bool job_book::close_run(const worker_id& worker, const run_key& run,
                         fleet::run_outcome outcome, const std::string& saved) {
  const auto found = runs_.find(worker);
  const bool was_recorded =
      found != runs_.end() && found->second.erase(run) > 0;
  if (was_recorded && found->second.empty()) runs_.erase(found);
  task_entry* task = find_task(run.task);
  if (task == nullptr) return was_recorded;
  job_entry& job = jobs_.at(run.task.job);
  step_entry& step = job.times[run.task.time][run.task.step];
  const fleet::step_spec& spec = *find_step(run.task);
  if (!was_recorded && !counts_late(run, outcome, *task)) return false;
  // A run that is recorded as alive and is not the task's current run: the end
  // of another gang member has already completed the task.
  const bool current =
      task->phase == task_phase::running && task->run == run.run;
  if (was_recorded && !current) return false;
  if (was_recorded) {
    task->phase = task_phase::waiting;
    --step.running;
  }
  // A later run may have saved more.
  if (!saved.empty() && run.run == task->run) task->saved = saved;
  if (outcome == fleet::run_failed) {
    count_failure(job, step, *task, spec);
    return true;
  }
  if (spec.gang()) save_gang_checkpoint(step, run.run, saved);
  if (outcome != fleet::run_done || spec.long_running()) return true;
  mark_done(step, run.task);
  // A successful end of one member completes the whole gang, of which a later
  // run may have been started.
  task_key member = run.task;
  for (member.index = 0; spec.gang() && member.index < spec.count();
       ++member.index) {
    mark_done(step, member);
  }
  finish_if_done(job);
  return true;
}

void job_book::lose_run(const worker_id& worker, const run_key& run,
                        const std::string& saved) {
  const bool was_recorded = runs_on(worker).contains(run);
  close_run(worker, run, fleet::run_lapsed, saved);
  const fleet::step_spec* step = find_step(run.task);
  const bool can_complete = step != nullptr && !step->long_running();
  if (was_recorded && can_complete && find(run.task) != nullptr)
    lost_.insert(run);
}

/// A checkpoint of any member applies to the whole gang.
void job_book::save_gang_checkpoint(step_entry& step, run_number run,
                                    const std::string& saved) {
  if (saved.empty()) return;
  for (task_entry& it : step.tasks) {
    if (it.run == run) it.saved = saved;
  }
}

void job_book::mark_done(step_entry& step, const task_key& key) {
  task_entry& task = step.tasks[key.index];
  if (task.phase == task_phase::done) return;
  if (task.phase == task_phase::running) --step.running;
  task.phase = task_phase::done;
  task.crash = {};
  suspects_.erase(key);
  ++step.done;
}

void job_book::count_failure(job_entry& job, step_entry& step, task_entry& task,
                             const fleet::step_spec& spec) {
  if (spec.long_running()) return;
  ++task.failures;
  if (spec.gang()) ++step.gang_failures;
  const uint32_t n = spec.gang() ? step.gang_failures : task.failures;
  if (n >= queue_of(job).max_attempts()) finish(job, fleet::job_failed);
}

void job_book::finish_if_done(job_entry& job) {
  for (const auto& steps : job.times) {
    for (const step_entry& it : steps) {
      if (it.done < it.tasks.size()) return;
    }
  }
  finish(job, fleet::job_succeeded);
}

/// Runs that are still alive remain in `runs_` until they end.
void job_book::finish(job_entry& job, fleet::job_phase phase) {
  if (!job.live()) return;
  job.phase = phase;
  live_.erase(job.order);
  const job_number number(job.spec.job());
  const task_key first{number, 0, 0, 0};
  const task_key last{number, UINT32_MAX, UINT32_MAX, UINT32_MAX};
  suspects_.erase(suspects_.lower_bound(first), suspects_.upper_bound(last));
  lost_.erase(lost_.lower_bound({first, run_number(0)}),
              lost_.upper_bound({last, run_number(UINT32_MAX)}));
  job.times.clear();
  job.times.shrink_to_fit();
  job.spec.clear_text();
}

job_book::result job_book::declare_lost(const fleet::worker_loss& loss) {
  const worker_id worker(loss.worker());
  result out;
  for (const fleet::run_loss& it : loss.runs()) {
    const run_key run{to_key(it.task()), run_number(it.run())};
    lose_run(worker, run, it.saved());
    if (loss.silent()) lapsed_[worker].insert(run);
    if (it.survived()) clear_crashes(run);
    if (it.crash_evidence() > 0) count_crash(run, it.crash_evidence(), out);
  }
  if (!loss.gone()) return out;
  const std::set<run_key> remaining = runs_on(worker);
  for (const run_key& it : remaining) lose_run(worker, it, "");
  last_ends_.erase(worker);
  left_.erase(worker);
  places_.erase(worker);
  lapsed_.erase(worker);
  return out;
}

/// Keeps the worker's runs: their ends may still arrive by a slower path.
job_book::result job_book::leave(const fleet::worker_leave& leave) {
  left_.insert(worker_id(leave.worker()));
  return {};
}

job_book::result job_book::forget(const fleet::job_list& jobs) {
  for (const uint64_t it : jobs.jobs()) {
    const auto found = jobs_.find(job_number(it));
    if (found != jobs_.end() && !found->second.live()) jobs_.erase(found);
    cancelled_early_.erase(job_number(it));
  }
  return {};
}

}  // namespace kestrelreel

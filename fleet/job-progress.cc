#include "fleet/job-progress.h"

#include <algorithm>

#include "fleet/job-order.h"

namespace kestrelreel {
namespace detail {

/// How long the remaining work of a job is used before it is computed anew: a
/// step advances by less than a tenth in that time.
constexpr milliseconds work_lifetime{250};
constexpr double core_ms = 1'000'000;  // Of thousandths of a core.

/// Since when the run has worked: its order was sent shortly before it was
/// listed for the first time.
time_point begin_of(const worker_view& it, const run_key& run, time_point now) {
  const auto sent = it.starts_sent_at.find(run);
  return sent == it.starts_sent_at.end() ? now : sent->second;
}

/// Time at full pace since the last observation.
milliseconds worked_since(const worker_view& it, const run_key& run,
                          time_point from, time_point now) {
  const auto pace = it.sent_paces.find(run);
  const int64_t percent =
      pace == it.sent_paces.end() ? full_pace_percent : pace->second;
  return (now - from) * percent / full_pace_percent;
}

}  // namespace detail

void job_progress::observe_rows(worker_view& it) const {
  if (!learn_) return;
  const time_point now = it.last_timely_heartbeat_at;
  std::erase_if(it.run_states,
                [&](const auto& p) { return !it.rows.contains(p.first); });
  for (const auto& [run, row] : it.rows) {
    const fleet::step_spec* step = book_.find_step(run.task);
    if (step == nullptr || step->long_running()) continue;
    const auto [state, fresh] = it.run_states.try_emplace(run);
    run_state& known = state->second;
    if (fresh) known.observed_at = detail::begin_of(it, run, now);
    known.worked += detail::worked_since(it, run, known.observed_at, now);
    known.observed_at = now;
    if (fresh || row.percent() > known.percent) known.advanced_at = now;
    known.percent = row.percent();
  }
}

void job_progress::observe_end(const worker_view& it,
                               const fleet::run_end& end) {
  if (!learn_ || end.outcome() != fleet::run_done) return;
  const run_key run{to_key(end.task()), run_number(end.run())};
  const job_entry* job = book_.find(run.task.job);
  const fleet::step_spec* step = book_.find_step(run.task);
  const task_entry* task = book_.find(run.task);
  // A run that continued from a checkpoint tells no whole run time.
  if (step == nullptr || task == nullptr || !task->saved.empty()) return;
  const time_point now = clock_.now();
  const auto state = it.run_states.find(run);
  const bool listed = state != it.run_states.end();
  if (!listed && !it.starts_sent_at.contains(run)) return;
  const time_point from =
      listed ? state->second.observed_at : detail::begin_of(it, run, now);
  const milliseconds worked =
      (listed ? state->second.worked : milliseconds(0)) +
      detail::worked_since(it, run, from, now);
  learned_.observe({book_.queue_of(*job).name(), run.task.step},
                   milliseconds(step->estimate_ms()), worked);
}

void job_progress::clear() {
  learned_.clear();
  works_.clear();
}

time_estimate job_progress::run_time(const job_entry& job,
                                     uint32_t step) const {
  const uint64_t declared =
      job.spec.steps(static_cast<int>(step)).estimate_ms();
  return run_time({book_.queue_of(job).name(), step},
                  milliseconds(static_cast<int64_t>(declared)));
}

time_estimate job_progress::run_time(const task_kind& kind,
                                     milliseconds declared) const {
  return learn_ ? learned_.run_time(kind, declared)
                : declared_.run_time(kind, declared);
}

/// Remaining time of a task that is not done.
time_estimate job_progress::remaining_of(const job_entry& job,
                                         const task_key& key) const {
  const time_estimate whole = run_time(job, key.step);
  const task_entry& task = job.times[key.time][key.step].tasks[key.index];
  if (!learn_ || task.phase != task_phase::running) return whole;
  const worker_view* worker = workers_.find(task.worker);
  if (worker == nullptr) return whole;
  const auto state = worker->run_states.find({key, task.run});
  if (state == worker->run_states.end()) return whole;
  return remaining_time(whole, state->second.worked, state->second.percent);
}

/// Work of a step of the first repetition; adds its processor time to `total`.
step_work job_progress::step_work_of(const job_entry& job, job_number number,
                                     uint32_t step, job_work& total) const {
  const fleet::step_spec& spec = job.spec.steps(static_cast<int>(step));
  step_work out;
  out.depends_on.assign(spec.depends_on().begin(), spec.depends_on().end());
  if (spec.long_running()) return out;
  const step_entry& entry = job.times.front()[step];
  for (uint32_t i = 0; i < entry.tasks.size(); ++i) {
    if (entry.tasks[i].phase == task_phase::done) continue;
    const time_estimate left = remaining_of(job, {number, 0, step, i});
    out.remaining.expected = std::max(out.remaining.expected, left.expected);
    out.remaining.high = std::max(out.remaining.high, left.high);
    const double work = static_cast<double>(left.expected.count()) *
                        static_cast<double>(spec.cpu_milli()) / detail::core_ms;
    total.core_seconds += work;
    if (entry.tasks[i].phase == task_phase::waiting)
      total.waiting_core_seconds += work;
  }
  return out;
}

const job_progress::job_work& job_progress::work_of(job_number number) {
  const time_point now = clock_.now();
  const auto [it, fresh] = works_.try_emplace(number);
  job_work& out = it->second;
  if (!fresh && now - out.at < detail::work_lifetime) return out;
  out = {};
  out.at = now;
  const job_entry* job = book_.find(number);
  if (job == nullptr || job->times.empty()) return out;
  std::vector<step_work> steps;
  std::vector<step_work> whole_steps;
  for (uint32_t i = 0; i < job->times.front().size(); ++i) {
    steps.push_back(step_work_of(*job, number, i, out));
    whole_steps.push_back({steps.back().depends_on, run_time(*job, i)});
  }
  out.after = time_after(steps);
  out.path = critical_path(steps);
  out.whole = critical_path(whole_steps).expected;
  return out;
}

milliseconds job_progress::objective(job_number number) {
  const job_entry* job = book_.find(number);
  if (job == nullptr) return milliseconds(0);
  return objective_of(book_.queue_of(*job), work_of(number).whole);
}

job_progress::new_work job_progress::work_of_new(
    const fleet::fleet_job_spec& spec, const fleet::queue_route& queue) const {
  new_work out;
  std::vector<step_work> steps;
  for (int i = 0; i < spec.steps_size(); ++i) {
    const fleet::step_spec& it = spec.steps(i);
    step_work& step = steps.emplace_back();
    step.depends_on.assign(it.depends_on().begin(), it.depends_on().end());
    if (it.long_running()) continue;
    step.remaining =
        run_time({queue.name(), static_cast<uint32_t>(i)},
                 milliseconds(static_cast<int64_t>(it.estimate_ms())));
    out.core_seconds += static_cast<double>(step.remaining.expected.count()) *
                        static_cast<double>(it.cpu_milli()) * it.count() /
                        detail::core_ms;
  }
  out.path = critical_path(steps).expected;
  out.objective = objective_of(queue, out.path);
  return out;
}

time_estimate job_progress::remaining(job_number job) {
  return work_of(job).path;
}

double job_progress::remaining_work(job_number job) {
  return work_of(job).core_seconds;
}

double job_progress::waiting_work(job_number job) {
  return work_of(job).waiting_core_seconds;
}

milliseconds job_progress::slack(const run_key& run, time_point deadline) {
  const job_entry* job = book_.find(run.task.job);
  const task_entry* task = book_.find(run.task);
  const job_work& work = work_of(run.task.job);
  const uint32_t step = run.task.step;
  if (job == nullptr || task == nullptr || step >= work.after.size())
    return milliseconds(0);
  const time_estimate own = remaining_of(*job, run.task);
  const time_estimate& after = work.after[step];
  return slack_of({own.expected + after.expected, own.high + after.high},
                  clock_.now(), deadline);
}

}  // namespace kestrelreel

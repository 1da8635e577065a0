#include "fleet/job-progress.h"

#include <algorithm>
#include <optional>

#include "fleet/job-order.h"

namespace kestrelreel {
namespace detail {

/// How long the remaining work of a job is used before it is computed anew: a
/// step advances by less than a tenth in that time.
constexpr milliseconds work_lifetime{250};
constexpr double core_ms = 1'000'000;  // Of thousandths of a core.

/// The declared time of a task, which may exceed what a time can hold.
milliseconds declared_time(const fleet::step_spec& step) {
  constexpr auto most = static_cast<uint64_t>(max_run_time.count());
  return milliseconds(static_cast<int64_t>(std::min(step.estimate_ms(), most)));
}

/// Since when the run has worked, by its start order, which was sent shortly
/// before; none if this leader did not send it or the run began from a
/// checkpoint.
std::optional<time_point> begin_of(const worker_view& it, const run_key& run,
                                   const task_entry* task) {
  const auto sent = it.starts_sent_at.find(run);
  if (sent == it.starts_sent_at.end() || task == nullptr ||
      !task->saved.empty())
    return std::nullopt;
  return sent->second;
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
    if (fresh) {
      const auto begin = detail::begin_of(it, run, book_.find(run.task));
      known.begin_seen = begin.has_value();
      known.observed_at = begin.value_or(now);
      known.advanced_at = now;
    }
    known.worked += detail::worked_since(it, run, known.observed_at, now);
    known.observed_at = now;
    const uint32_t percent = std::min(row.percent(), full_pace_percent);
    if (percent > known.percent) known.advanced_at = now;
    // A run that is being restored from its checkpoint may report 0.
    if (!known.begin_seen && known.percent == 0) {
      known.first_percent = percent;
      known.worked = milliseconds(0);
    }
    known.percent = percent;
  }
}

void job_progress::observe_end(const worker_view& it,
                               const fleet::run_end& end) {
  if (!learn_ || end.outcome() != fleet::run_done) return;
  const run_key run{to_key(end.task()), run_number(end.run())};
  const job_entry* job = book_.find(run.task.job);
  const fleet::step_spec* step = book_.find_step(run.task);
  if (step == nullptr || step->long_running()) return;
  run_state known;
  const auto state = it.run_states.find(run);
  if (state != it.run_states.end()) {
    known = state->second;
  } else if (const auto begin =
                 detail::begin_of(it, run, book_.find(run.task))) {
    known.begin_seen = true;
    known.observed_at = *begin;
  }
  // Other runs tell no whole run time.
  if (!known.begin_seen) return;
  const milliseconds worked =
      known.worked +
      detail::worked_since(it, run, known.observed_at, clock_.now());
  learned_.observe({book_.queue_of(*job).name(), run.task.step},
                   detail::declared_time(*step), worked);
}

void job_progress::clear() {
  learned_.clear();
  works_.clear();
}

time_estimate job_progress::run_time(const job_entry& job,
                                     uint32_t step) const {
  return run_time(
      {book_.queue_of(job).name(), step},
      detail::declared_time(job.spec.steps(static_cast<int>(step))));
}

time_estimate job_progress::run_time(const task_kind& kind,
                                     milliseconds declared) const {
  return learn_ ? learned_.run_time(kind, declared)
                : declared_.run_time(kind, declared);
}

/// Remaining time of a task that is not done. A run that has not advanced for
/// longer than a whole one takes may never end: at least a whole run is left.
time_estimate job_progress::remaining_of(const job_entry& job,
                                         const task_key& key,
                                         const time_estimate& whole) const {
  const task_entry& task = job.times[key.time][key.step].tasks[key.index];
  if (!learn_ || task.phase != task_phase::running) return whole;
  const worker_view* worker = workers_.find(task.worker);
  if (worker == nullptr) return whole;
  const auto state = worker->run_states.find({key, task.run});
  if (state == worker->run_states.end()) return whole;
  const run_state& known = state->second;
  const time_estimate left =
      remaining_time(whole, known.worked, known.percent, known.first_percent);
  if (clock_.now() - known.advanced_at <= whole.high) return left;
  return {std::max(left.expected, whole.expected),
          std::max(left.high, whole.high)};
}

/// Work of a step of the first repetition; adds its processor time to `total`.
step_work job_progress::step_work_of(const job_entry& job, job_number number,
                                     uint32_t step, job_work& total) const {
  const fleet::step_spec& spec = job.spec.steps(static_cast<int>(step));
  step_work out;
  out.depends_on.assign(spec.depends_on().begin(), spec.depends_on().end());
  if (spec.long_running()) return out;
  const time_estimate whole = run_time(job, step);
  const step_entry& entry = job.times.front()[step];
  for (uint32_t i = 0; i < entry.tasks.size(); ++i) {
    if (entry.tasks[i].phase == task_phase::done) continue;
    const time_estimate left = remaining_of(job, {number, 0, step, i}, whole);
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
    step.remaining = run_time({queue.name(), static_cast<uint32_t>(i)},
                              detail::declared_time(it));
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
  const time_estimate own = remaining_of(*job, run.task, run_time(*job, step));
  const time_estimate& after = work.after[step];
  return slack_of({own.expected + after.expected, own.high + after.high},
                  clock_.now(), deadline);
}

}  // namespace kestrelreel

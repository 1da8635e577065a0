#include "fleet/task-outages.h"

#include <algorithm>
#include <utility>

#include "base/text.h"
#include "fleet/job-order.h"

namespace kestrelreel {
namespace detail {

constexpr size_t max_starts_kept = 8;

template <typename Entry>
run_key run_of(const Entry& it) {
  return {to_key(it.task()), run_number(it.run())};
}

/// False for a run that was not started, or that only waited for its gang.
bool worked(fleet::run_outcome outcome) {
  return outcome != fleet::run_refused && outcome != fleet::run_alone;
}

const char* cause_of(const fleet::worker_loss& loss) {
  if (loss.silent()) return "lease-ended";
  return loss.gone() ? "worker-gone" : "withdrawn";
}

/// False for a run that was recorded after the loss was proposed.
bool has_begun(const fleet::worker_loss& loss, const run_key& run) {
  const auto& all = loss.runs();
  return std::any_of(all.begin(), all.end(), [&](const auto& it) {
    return !it.unstarted() && run_of(it) == run;
  });
}

}  // namespace detail

std::vector<run_key> task_outages::runs_ended_by(
    const fleet::fleet_command& command) const {
  std::vector<run_key> out;
  const auto add = [&](const run_key& run) {
    const fleet::step_spec* step = book_.find_step(run.task);
    if (step == nullptr || !step->long_running()) return;
    const task_entry* task = book_.find(run.task);
    if (task != nullptr && task->phase == task_phase::running &&
        task->run == run.run)
      out.push_back(run);
  };
  for (const auto& it : command.report().ends()) add(detail::run_of(it));
  for (const auto& it : command.loss().runs()) add(detail::run_of(it));
  if (!command.loss().gone()) return out;
  const size_t listed = out.size();
  for (const run_key& run : book_.runs_on(worker_id(command.loss().worker()))) {
    const auto end = out.begin() + static_cast<std::ptrdiff_t>(listed);
    if (std::find(out.begin(), end, run) == end) add(run);
  }
  return out;
}

void task_outages::apply(const fleet::fleet_command& command,
                         const std::vector<run_key>& ended) {
  for (const fleet::run_start& it : command.starts().starts()) add_start(it);
  const time_point now = clock_.now();
  for (const fleet::run_end& it : command.report().ends()) {
    const run_key run = detail::run_of(it);
    if (std::find(ended.begin(), ended.end(), run) == ended.end()) continue;
    end_run(run, {now, detail::worked(it.outcome()),
                  fleet::run_outcome_Name(it.outcome())});
  }
  if (command.has_loss()) {
    const fleet::worker_loss& loss = command.loss();
    const time_point heard_at =
        now - milliseconds(static_cast<int64_t>(loss.unheard_ms()));
    for (const run_key& run : ended) {
      end_run(run,
              {heard_at, detail::has_begun(loss, run), detail::cause_of(loss)});
    }
  }
  forget(command.cancel());
  forget(command.forget());
}

void task_outages::add_start(const fleet::run_start& start) {
  const run_key run = detail::run_of(start);
  const auto found = outages_.find(run.task);
  if (found == outages_.end()) return;
  const task_entry* task = book_.find(run.task);
  if (task == nullptr || task->run != run.run) return;
  std::vector<outage_start>& starts = found->second.starts;
  if (starts.size() == detail::max_starts_kept) starts.erase(starts.begin());
  starts.push_back({run.run, task->worker, clock_.now(), "", {}});
}

/// The outage goes on if the run never began.
void task_outages::end_run(const run_key& run, const ending& how) {
  const task_entry* task = book_.find(run.task);
  if (task == nullptr || task->phase != task_phase::waiting) return;
  const time_point now = clock_.now();
  const auto [found, fresh] = outages_.try_emplace(run.task);
  task_outage& it = found->second;
  if (how.began) {
    it = {how.at, run.run, how.cause, {}, 0};
    return;
  }
  if (fresh) it = {now, run_number(0), how.cause, {}, 0};
  ++it.failed_starts;
  if (it.starts.empty() || it.starts.back().run != run.run) return;
  it.starts.back().failure = how.cause;
  it.starts.back().failed_at = now;
}

void task_outages::forget(const fleet::job_list& jobs) {
  for (const uint64_t it : jobs.jobs()) {
    const job_number job(it);
    outages_.erase(
        outages_.lower_bound({job, 0, 0, 0}),
        outages_.upper_bound({job, UINT32_MAX, UINT32_MAX, UINT32_MAX}));
  }
}

void task_outages::reload() {
  outages_.clear();
  const time_point now = clock_.now();
  for (const auto& [order, number] : book_.live()) {
    const job_entry& job = *book_.find(number);
    for (uint32_t time = 0; time < job.times.size(); ++time) {
      for (uint32_t step = 0; step < job.times[time].size(); ++step) {
        if (!job.spec.steps(static_cast<int>(step)).long_running()) continue;
        const auto& tasks = job.times[time][step].tasks;
        for (uint32_t i = 0; i < tasks.size(); ++i) {
          if (is_interrupted(tasks[i]))
            outages_[{number, time, step, i}] = {
                now, tasks[i].run, "unknown", {}, 0};
        }
      }
    }
  }
}

std::optional<task_outage> task_outages::begin_run(const run_key& run) {
  const auto found = outages_.find(run.task);
  if (found == outages_.end() || run.run <= found->second.last_run)
    return std::nullopt;
  task_outage out = std::move(found->second);
  outages_.erase(found);
  return out;
}

const task_outage* task_outages::find(const task_key& task) const {
  const auto found = outages_.find(task);
  return found == outages_.end() ? nullptr : &found->second;
}

std::optional<time_point> task_outages::recorded_at(const run_key& run) const {
  const task_outage* it = find(run.task);
  if (it == nullptr || it->starts.empty() || it->starts.back().run != run.run)
    return std::nullopt;
  return it->starts.back().recorded_at;
}

std::vector<run_key> task_outages::open_starts() const {
  std::vector<run_key> out;
  for (const auto& [task, outage] : outages_) {
    const task_entry* it = book_.find(task);
    if (it != nullptr && it->phase == task_phase::running)
      out.push_back({task, it->run});
  }
  return out;
}

std::string to_text(const std::vector<outage_start>& starts, time_point now) {
  std::string out;
  for (const outage_start& it : starts) {
    const time_point end = it.failure.empty() ? now : it.failed_at;
    str_append(out, out.empty() ? "" : ",", it.run.value(), "@",
               it.worker.str(), ":", it.failure, ":",
               (end - it.recorded_at).count());
  }
  return out;
}

}  // namespace kestrelreel

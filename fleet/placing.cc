// Where the tasks of one step start.
#include <algorithm>
#include <iterator>
#include <utility>

#include "fleet/scheduler.h"

namespace kestrelreel {

/// The tasks that wait, those that had begun before others.
std::vector<uint32_t> fleet_scheduler::turns_of(const step_entry& step) {
  std::vector<uint32_t> turns;
  for (uint32_t i = 0; i < step.tasks.size(); ++i) {
    if (step.tasks[i].phase == task_phase::waiting) turns.push_back(i);
  }
  std::stable_partition(turns.begin(), turns.end(), [&](uint32_t i) {
    return is_interrupted(step.tasks[i]);
  });
  return turns;
}

fleet_scheduler::ranking fleet_scheduler::rank(
    const step_to_place& step, const std::vector<worker_view*>& all) {
  std::vector<ranked> values;
  values.reserve(all.size());
  count_looks(all.size());
  for (size_t i = 0; i < all.size(); ++i) {
    const auto value = value_of(step, *all[i]);
    if (value) values.emplace_back(*value, -static_cast<std::ptrdiff_t>(i));
  }
  return ranking(std::less<ranked>(), std::move(values));
}

/// Takes the best one out; it is to be ranked again once it got a task.
std::optional<size_t> fleet_scheduler::take_best(
    ranking& best, const step_to_place& step,
    const std::vector<worker_view*>& all) {
  while (!best.empty()) {
    const auto at = static_cast<size_t>(-best.top().second);
    best.pop();
    if (!is_trying(*all[at], step)) return at;
  }
  return std::nullopt;
}

run_number fleet_scheduler::last_run(const step_entry& step) {
  run_number last;
  for (const task_entry& it : step.tasks) last = std::max(last, it.run);
  return last;
}

/// The tasks of a step are alike: each worker is looked at once, and again
/// when it got one of them.
std::vector<fleet_scheduler::placement> fleet_scheduler::place_tasks(
    const waiting_job& job, const step_to_place& step,
    std::vector<worker_view*>& all) {
  const step_entry& entry = job.entry->times[step.first.time][step.first.step];
  const run_number gang_run = last_run(entry);
  ranking best = rank(step, all);
  std::vector<placement> placed;
  const bool lasts = step.spec.long_running();
  uint64_t fresh_room =
      lasts ? room_for_fresh(step.pool, step.priority, plan_of(job.number)) : 0;
  for (const uint32_t i : turns_of(entry)) {
    const task_entry& task = entry.tasks[i];
    const bool fresh = lasts && !is_interrupted(task);
    if (fresh && fresh_room < step.spec.cpu_milli()) break;
    const task_key key{job.number, step.first.time, step.first.step, i};
    if (is_proposed(key)) continue;
    const bool suspect = book_.is_suspect(key);
    if (suspect && awaits_fate(key, task)) continue;
    const std::optional<size_t> at =
        suspect ? place_for_suspect(step, all) : take_best(best, step, all);
    if (!at && suspect) continue;
    if (!at) break;
    worker_view& where = *all[*at];
    if (suspect) note_try(where.id, key);
    where.load.add(key, step.spec, step.image);
    if (lasts) {
      release_room(where, step.first);
      use_of(step.pool).lasting += step.spec.cpu_milli();
      fresh_room -= std::min(fresh_room, step.spec.cpu_milli());
    }
    if (const auto value = value_of(step, where)) {
      best.emplace(*value, -static_cast<std::ptrdiff_t>(*at));
    }
    const run_number run = step.spec.gang() ? gang_run : task.run;
    placed.push_back({key, run.next(), &where});
    if (job.starved && step.spec.fills() && !step.spec.gang()) break;
  }
  return placed;
}

void fleet_scheduler::plan_step(const waiting_job& job, uint32_t time,
                                uint32_t step, std::vector<worker_view*>& all,
                                fleet::run_starts& out) {
  const fleet::step_spec& spec = job.entry->spec.steps(static_cast<int>(step));
  const step_entry& entry = job.entry->times[time][step];
  // A gang starts whole: none of an earlier run may be alive any more.
  if (spec.gang() && entry.running > 0) return;
  const task_key first{job.number, time, step, 0};
  const size_t waiting =
      entry.tasks.size() - entry.done - entry.running - count_proposed(first);
  if (waiting == 0) return;
  const bool anywhere = may_try(first);
  if (!anywhere && !fits_where_freed(*job.entry, first)) return;
  const step_to_place place = place_of(*job.entry, first, job.starved);
  const size_t opened = place_where_open(job, place, waiting, out);
  if (opened >= waiting) return void(try_again_.erase(first));
  if (all.empty()) all = places_now();
  const std::vector<placement> placed =
      place_tasks(job, place, anywhere ? all : freed_);
  if (anywhere) try_again_.erase(first);
  if (anywhere && opened + placed.size() < waiting) {
    try_again_[first] =
        clock_.now() + retry_pause(all.size(), spec.long_running());
  }
  if (spec.gang() && placed.size() < waiting) return take_back(placed);
  if (opened + placed.size() == 0 && anywhere) report_if_barred(place, all);
  start(placed, place, out);
}

/// Tasks of the step whose start is proposed and not yet in the book.
size_t fleet_scheduler::count_proposed(const task_key& first) const {
  task_key next = first;
  ++next.step;
  return static_cast<size_t>(
      std::distance(proposed_.lower_bound(first), proposed_.lower_bound(next)));
}

/// Places tasks of a short step at workers whose call is held; how many.
size_t fleet_scheduler::place_where_open(const waiting_job& job,
                                         const step_to_place& step,
                                         size_t wanted,
                                         fleet::run_starts& out) {
  const fleet::step_spec& spec = step.spec;
  // Where data lies and what disturbs whom is looked for among all.
  if (spec.long_running() || !spec.affinity_rack().empty()) return 0;
  if (!open_) open_ = open_places();
  if (open_->empty()) return 0;
  const std::vector<placement> placed = place_tasks(job, step, *open_);
  if (spec.gang() && placed.size() < wanted) {
    take_back(placed);
    return 0;
  }
  start(placed, step, out);
  return placed.size();
}

void fleet_scheduler::take_back(const std::vector<placement>& placed) {
  for (const placement& it : placed) it.where->load = load_of(*it.where);
}

void fleet_scheduler::start(const std::vector<placement>& placed,
                            const step_to_place& step, fleet::run_starts& out) {
  if (placed.empty()) return;
  plan_of(step.first.job).idle_since.reset();
  for (const placement& it : placed) {
    report_late_start(it, step.spec.long_running());
    proposed_[it.task] = it.where->id;
    it.where->proposed_starts[{it.task, it.run}] = step.spec;
    workers_.groups().proposing.add(*it.where);
    fleet::run_start& start = *out.add_starts();
    *start.mutable_task() = to_ref(it.task);
    start.set_run(static_cast<uint32_t>(it.run.value()));
    start.set_worker(it.where->id.str());
  }
}

}  // namespace kestrelreel

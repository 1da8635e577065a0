#include "fleet/scheduler.h"

#include <algorithm>
#include <queue>
#include <utility>

namespace kestrelreel {
namespace detail {

constexpr unsigned percent = 100;
/// A task away from its data takes longer; one rack in a few is near.
constexpr double rack_bonus = 1e6;
/// Tasks of one step on one worker are lost together.
constexpr double crowd_cost = 4'000;
/// Serving tasks of one image bear the same fill tasks: kept together, they
/// leave whole workers to fill tasks that others would suffer from. Above any
/// room that is left over.
constexpr double image_bonus = 100'000;
/// Workers whose serving tasks bear all fill tasks are kept for those that
/// others suffer from; above any room that is left over.
constexpr double spared_cost = 60'000;

}  // namespace detail

bool has_label(const fleet::worker_beat& beat, const std::string& label) {
  const auto& labels = beat.labels();
  return std::find(labels.begin(), labels.end(), label) != labels.end();
}

void worker_load::add(const task_key& task, const fleet::step_spec& step) {
  if (step.fills()) fill_cpu += step.cpu_milli();
  if (!step.fills()) cpu += step.cpu_milli();
  if (step.target_ms() > 0) {
    serving_cpu += step.cpu_milli();
    ++serving[step.image()];
  }
  if (step.fills()) fills[step.image()] += step.cpu_milli();
  memory_mb += step.memory_mb();
  accelerators += step.accelerators();
  ++steps[{task.job, task.time, task.step, 0}];
}

worker_load fleet_scheduler::load_of(const worker_view& it) const {
  worker_load load;
  for (const run_key& run : book_.runs_on(it.id)) {
    const fleet::step_spec* step = book_.find_step(run.task);
    if (step != nullptr) load.add(run.task, *step);
  }
  for (const auto& [run, step] : it.proposed) load.add(run.task, step);
  return load;
}

bool fleet_scheduler::is_usable(const worker_view& it) const {
  const time_point now = clock_.now();
  return it.known && !it.beat.draining() && it.avoided_until <= now &&
         now - it.heard < settings_.silent_limit;
}

std::vector<fleet_scheduler::candidate> fleet_scheduler::candidates() {
  std::vector<candidate> all;
  for (auto& [id, it] : workers_.views()) {
    if (!is_usable(it)) continue;
    const uint64_t version = book_.runs_version(id);
    const bool same = it.load_version == version && it.proposed.empty() &&
                      it.load_without_proposed;
    if (!same) {
      it.load = load_of(it);
      it.load_version = version;
      it.load_without_proposed = it.proposed.empty();
    }
    all.push_back({&it, it.load});
  }
  return all;
}

/// True when a task of the job could run and nothing of it has for long.
bool fleet_scheduler::is_starved(job_number number, const job_entry& job) {
  bool runs = false;
  for (const auto& steps : job.times) {
    runs = runs || std::any_of(steps.begin(), steps.end(),
                               [](const auto& it) { return it.running > 0; });
  }
  if (runs) {
    idle_since_.erase(number);
    return false;
  }
  const time_point now = clock_.now();
  const auto since = idle_since_.try_emplace(number, now).first->second;
  return now - since >= settings_.starved_after;
}

job_order fleet_scheduler::order_now(job_number number, const job_entry& job) {
  const time_point now = clock_.now();
  const time_point accepted = accepted_.try_emplace(number, now).first->second;
  job_order order = order_of(job, book_.queue_of(job), accepted, now);
  if (order.standing != job_standing::lasting) return order;
  const time_point since = waits_since_.try_emplace(number, now).first->second;
  if (now - since < settings_.lasting_first_after) return order;
  order.standing = job_standing::in_time;
  order.deadline = since;
  return order;
}

std::vector<fleet_scheduler::waiting_job> fleet_scheduler::waiting_jobs() {
  std::vector<waiting_job> jobs;
  for (const auto& [order, number] : book_.live()) {
    const job_entry& job = *book_.find(number);
    const bool waits =
        std::any_of(job.times.begin(), job.times.end(), [](const auto& steps) {
          return std::any_of(steps.begin(), steps.end(), [](const auto& it) {
            return it.done + it.running < it.tasks.size();
          });
        });
    if (!waits) {
      waits_since_.erase(number);
      continue;
    }
    jobs.push_back(
        {order_now(number, job), number, &job, is_starved(number, job)});
  }
  std::stable_sort(jobs.begin(), jobs.end(), [](const auto& a, const auto& b) {
    return a.order < b.order;
  });
  return jobs;
}

fleet::run_starts fleet_scheduler::plan(uint64_t wall_ms) {
  proposed_.clear();
  for (const auto& [id, it] : workers_.views()) {
    for (const auto& [run, step] : it.proposed) proposed_[run.task] = id;
  }
  fleet::run_starts out;
  const std::vector<waiting_job> jobs = waiting_jobs();
  if (jobs.empty()) return out;
  // Filled by the first step that is tried.
  std::vector<candidate> all;
  for (const waiting_job& it : jobs) plan_job(it, wall_ms, all, out);
  return out;
}

void fleet_scheduler::plan_job(const waiting_job& job, uint64_t wall_ms,
                               std::vector<candidate>& all,
                               fleet::run_starts& out) {
  const fleet::fleet_job_spec& spec = job.entry->spec;
  for (uint32_t time = 0; time < job.entry->times.size(); ++time) {
    const uint64_t due = spec.start_ms() + time * spec.interval_ms();
    if (spec.times() > 0 && wall_ms < due) return;
    const auto& steps = job.entry->times[time];
    for (uint32_t step = 0; step < steps.size(); ++step) {
      const step_entry& it = steps[step];
      if (it.done + it.running >= it.tasks.size()) continue;
      if (!book_.step_is_due(*job.entry, time, step)) continue;
      plan_step(job, time, step, all, out);
    }
  }
}

bool fleet_scheduler::is_proposed(const task_key& task) const {
  return proposed_.contains(task);
}

/// The tasks of a step are alike: each worker is looked at once, and again
/// when it got one of them.
std::vector<fleet_scheduler::placement> fleet_scheduler::place_tasks(
    const waiting_job& job, uint32_t time, uint32_t step,
    std::vector<candidate>& all) {
  const fleet::step_spec& spec = job.entry->spec.steps(static_cast<int>(step));
  const step_entry& entry = job.entry->times[time][step];
  const std::string& pool = book_.queue_of(*job.entry).pool();
  run_number gang_run;
  for (const task_entry& it : entry.tasks) {
    gang_run = std::max(gang_run, it.run);
  }
  // Of two alike the first is taken.
  using ranked = std::pair<double, std::ptrdiff_t>;
  std::priority_queue<ranked> best;
  const auto rank = [&](size_t i) {
    const auto value =
        value_of(pool, {job.number, time, step, 0}, spec, all[i], job.starved);
    if (value) best.emplace(*value, -static_cast<std::ptrdiff_t>(i));
  };
  for (size_t i = 0; i < all.size(); ++i) rank(i);
  std::vector<placement> placed;
  for (uint32_t i = 0; i < entry.tasks.size() && !best.empty(); ++i) {
    const task_entry& task = entry.tasks[i];
    const task_key key{job.number, time, step, i};
    if (task.phase != task_phase::waiting || is_proposed(key)) continue;
    const auto where = static_cast<size_t>(-best.top().second);
    best.pop();
    all[where].load.add(key, spec);
    rank(where);
    const run_number run = spec.gang() ? gang_run : task.run;
    placed.push_back({key, run.next(), &all[where]});
    if (job.starved && spec.fills() && !spec.gang()) break;
  }
  return placed;
}

void fleet_scheduler::undo(const std::vector<placement>& placed) {
  for (const placement& it : placed) {
    it.where->load = load_of(*it.where->view);
  }
}

/// A step that found no room is left alone for a while.
bool fleet_scheduler::may_try(const task_key& step) {
  const auto it = try_again_.find(step);
  if (it == try_again_.end()) return true;
  if (clock_.now() < it->second) return false;
  try_again_.erase(it);
  return true;
}

void fleet_scheduler::plan_step(const waiting_job& job, uint32_t time,
                                uint32_t step, std::vector<candidate>& all,
                                fleet::run_starts& out) {
  const fleet::step_spec& spec = job.entry->spec.steps(static_cast<int>(step));
  const step_entry& entry = job.entry->times[time][step];
  // A gang starts whole: none of an earlier run may be alive any more.
  if (spec.gang() && entry.running > 0) return;
  const task_key first{job.number, time, step, 0};
  if (!may_try(first)) return;
  if (all.empty()) all = candidates();
  const std::vector<placement> placed = place_tasks(job, time, step, all);
  const size_t wanted = entry.tasks.size() - entry.done;
  if (placed.size() < wanted - entry.running) {
    const auto pause = std::chrono::duration_cast<milliseconds>(
        settings_.retry_per_worker * all.size());
    try_again_[first] = clock_.now() + pause;
  }
  if (spec.gang() && placed.size() < wanted) return undo(placed);
  if (!placed.empty()) idle_since_.erase(job.number);
  for (const placement& it : placed) {
    proposed_[it.task] = it.where->view->id;
    it.where->view->proposed[{it.task, it.run}] = spec;
    fleet::run_start& start = *out.add_starts();
    *start.mutable_task() = to_ref(it.task);
    start.set_run(static_cast<uint32_t>(it.run.value()));
    start.set_worker(it.where->view->id.str());
  }
}

int64_t fleet_scheduler::left_over(const candidate& it) const {
  const auto use = [&](uint64_t cpu, unsigned share) {
    return static_cast<int64_t>(cpu * share / detail::percent);
  };
  const auto capacity = static_cast<int64_t>(it.view->beat.cpu_milli());
  return capacity - use(it.load.cpu - it.load.serving_cpu, detail::percent) -
         use(it.load.serving_cpu, settings_.serving_use_percent) -
         use(it.load.fill_cpu, detail::percent);
}

bool fleet_scheduler::fits(const candidate& it, const fleet::step_spec& spec,
                           bool starved) const {
  const fleet::worker_beat& room = it.view->beat;
  if (it.load.memory_mb + spec.memory_mb() > room.memory_mb()) return false;
  if (it.load.accelerators + spec.accelerators() > room.accelerators()) {
    return false;
  }
  if (!spec.fills()) return it.load.cpu + spec.cpu_milli() <= room.cpu_milli();
  return starved || bears(it, spec);
}

/// True where a fill task would get on.
bool fleet_scheduler::bears(const candidate& it,
                            const fleet::step_spec& spec) const {
  const auto unfit = it.view->unfit_until.find(spec.image());
  if (unfit != it.view->unfit_until.end() && unfit->second > clock_.now()) {
    return false;
  }
  const auto wanted = static_cast<int64_t>(
      spec.cpu_milli() * settings_.fill_share_percent / detail::percent);
  return left_over(it) >= wanted &&
         expected_share(it, spec) * detail::percent >=
             settings_.least_pace_percent;
}

/// 1 on a worker that serves only with this image, 0 on one that does not
/// serve, and less than 0 the more it serves with others.
double fleet_scheduler::alike(const candidate& it,
                              const fleet::step_spec& spec) const {
  uint32_t same = 0;
  uint32_t all = 0;
  for (const auto& [image, n] : it.load.serving) {
    all += n;
    if (image == spec.image()) same = n;
  }
  if (all == 0) return 0;
  return same == all ? 1 : -static_cast<double>(all - same) / all;
}

double fleet_scheduler::score(const candidate& it, const task_key& task,
                              const fleet::step_spec& spec) const {
  double score = static_cast<double>(left_over(it));
  const auto same = it.load.steps.find({task.job, task.time, task.step, 0});
  if (same != it.load.steps.end()) score -= detail::crowd_cost * same->second;
  const std::string& rack = spec.affinity_rack();
  if (!rack.empty() && has_label(it.view->beat, rack)) {
    score += detail::rack_bonus;
  }
  if (spec.fills()) {
    const double share = expected_share(it, spec);
    score *= share;
    const bool anywhere = share >= 1 && !bears_all(it);
    if (anywhere) score += detail::spared_cost;
  } else if (spec.target_ms() <= 0 && bears_all(it)) {
    score -= detail::spared_cost;
  }
  if (spec.target_ms() > 0) score += detail::image_bonus * alike(it, spec);
  return score;
}

/// How well a task would stand on a worker; none where it must not run.
std::optional<double> fleet_scheduler::value_of(const std::string& pool,
                                                const task_key& task,
                                                const fleet::step_spec& spec,
                                                const candidate& it,
                                                bool starved) const {
  const fleet::worker_beat& beat = it.view->beat;
  if (beat.pool() != pool || !fits(it, spec, starved)) return std::nullopt;
  if (!spec.requires_label().empty() &&
      !has_label(beat, spec.requires_label())) {
    return std::nullopt;
  }
  if (spec.anti_affinity() > 0) {
    const auto n = it.load.steps.find({task.job, task.time, task.step, 0});
    if (n != it.load.steps.end() && n->second >= spec.anti_affinity()) {
      return std::nullopt;
    }
  }
  return score(it, task, spec);
}

}  // namespace kestrelreel

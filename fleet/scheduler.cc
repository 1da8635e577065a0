#include "fleet/scheduler.h"

#include <algorithm>
#include <utility>

namespace kestrelreel {
namespace detail {

constexpr unsigned percent = 100;
/// Prefers workers in the rack near the data, one rack in a few: a task that is
/// away from its data takes longer.
constexpr double rack_bonus = 1e6;
/// Tasks of one step on one worker are lost together.
constexpr double same_step_penalty = 4'000;
/// Serving tasks of one image tolerate the same backfill tasks. Placed together
/// they leave whole workers to backfill tasks that would disturb other images.
/// Exceeds any free capacity.
constexpr double image_bonus = 100'000;
/// Keeps workers whose serving tasks tolerate all backfill tasks for those that
/// disturb others. Exceeds any free capacity.
constexpr double spared_worker_penalty = 60'000;
/// A worker that is still slow after its start is the last choice: workers of a
/// data centre that rejoins are all empty and would attract every pending task.
/// Exceeds all but `rack_bonus`, since a task away from its data loses as much.
constexpr double cold_start_penalty = 300'000;
/// A worker that was avoided and is not sound yet is the last choice. Exceeds
/// `image_bonus`, but not `late_call_penalty`: an interrupted task needs its
/// order soon.
constexpr double recovering_penalty = 150'000;
/// For an interrupted task, avoids workers without an open call, which would
/// get the order late: most of the tolerated outage has passed while its lease
/// ran out. Exceeds `image_bonus`.
constexpr double late_call_penalty = 200'000;
/// A call due within this time counts as an open one.
constexpr milliseconds soon{300};
/// A start is recorded within this time unless the log is slow.
constexpr milliseconds record_time{100};

}  // namespace detail

bool has_label(const fleet::worker_beat& beat, const std::string& label) {
  const auto& labels = beat.labels();
  return std::find(labels.begin(), labels.end(), label) != labels.end();
}

worker_load fleet_scheduler::load_of(const worker_view& it) {
  worker_load load;
  const auto add = [&](const task_key& task, const fleet::step_spec& step) {
    load.add(task, step, model_.id_of(step.image()));
  };
  for (const run_key& run : book_.runs_on(it.id)) {
    const fleet::step_spec* step = book_.find_step(run.task);
    if (step != nullptr) add(run.task, *step);
  }
  for (const auto& [run, step] : it.proposed_starts) add(run.task, step);
  if (!it.lists_unrecorded) return load;
  for (const auto& [run, row] : it.rows) {
    const fleet::step_spec* step = book_.find_step(run.task);
    const bool recorded = book_.runs_on(it.id).contains(run);
    if (!recorded && step != nullptr) add(run.task, *step);
  }
  return load;
}

/// Why the worker gets no new work, as a log value; null if usable.
const char* fleet_scheduler::exclusion_reason(const worker_view& it) const {
  if (it.avoided_until > clock_.now()) return "avoided";
  return absence_reason(it);
}

/// Why the worker can't run a task, even if it is sound; null if it can.
const char* fleet_scheduler::absence_reason(const worker_view& it) const {
  const time_point now = clock_.now();
  if (!it.has_heartbeat) return "unheard";
  if (it.loss_proposed || it.superseded) return "another-life";
  if (it.forget_proposed) return "forgotten";
  if (it.is_leaving || it.beat.draining()) return "leaving";
  if (is_evacuated(it)) return "evacuated";
  if (it.last_timely_heartbeat_at <= it.starts_recalled_at) return "taken-back";
  const time_point silent_at =
      it.last_timely_heartbeat_at + settings_.silent_limit;
  if (now >= std::max(silent_at, it.overdue_at())) return "silent";
  return nullptr;
}

bool fleet_scheduler::is_usable(const worker_view& it) const {
  return exclusion_reason(it) == nullptr;
}

bool fleet_scheduler::is_evacuated(const worker_view& it) const {
  return book_.evacuated().holds(it.beat.data_centre());
}

std::vector<worker_view*> fleet_scheduler::candidates() {
  std::vector<worker_view*> all;
  for (auto& [id, it] : workers_.views()) {
    if (!is_usable(it)) continue;
    if (std::exchange(it.load_is_stale, false)) it.load = load_of(it);
    all.push_back(&it);
  }
  return all;
}

bool fleet_scheduler::has_open_call(const worker_view& it) const {
  return it.respond && clock_.now() - it.call_received_at + it.delay <
                           settings_.open_call_limit;
}

/// Workers on which the current plan may place tasks.
std::vector<worker_view*> fleet_scheduler::plan_candidates() {
  std::vector<worker_view*> all = candidates();
  drop_unreachable(all);
  return all;
}

/// Drops the workers that would get no order in time.
void fleet_scheduler::drop_unreachable(std::vector<worker_view*>& all) const {
  // A start that is recorded soon is withdrawn at this time unless it was sent.
  const time_point call_needed_by =
      clock_.now() + max_call_delay - detail::record_time;
  std::erase_if(all, [&](auto* it) {
    return only_open_ ? !has_open_call(*it)
                      : !it->respond && it->call_due > call_needed_by;
  });
}

/// Usable workers with an open call, the most recent first.
std::vector<worker_view*> fleet_scheduler::open_candidates() {
  std::vector<worker_view*> all =
      workers_.groups().held_calls.last(settings_.max_open_candidates);
  std::erase_if(all, [&](worker_view* it) {
    if (!is_usable(*it) || !has_open_call(*it)) return true;
    if (std::exchange(it->load_is_stale, false)) it->load = load_of(*it);
    return false;
  });
  return all;
}

/// True if no task of the job has run for `starved_after`.
bool fleet_scheduler::is_starved(const job_tracking& tracking) const {
  return tracking.idle_since &&
         clock_.now() - *tracking.idle_since >= settings_.starved_after;
}

job_tracking& fleet_scheduler::tracking_of(job_number number) {
  const auto [it, fresh] = tracked_jobs_.try_emplace(number);
  if (fresh) it->second.accepted = clock_.now();
  return it->second;
}

/// Updates the job's tracking; true if a step of it is to be tried now. Most
/// live jobs have nothing to place, and a full evaluation of each took half of
/// the planning time at 1,100 workers.
bool fleet_scheduler::has_tasks_to_place(job_number number,
                                         const job_entry& job) {
  job_tracking& tracking = tracking_of(number);
  if (!std::exchange(tracking.demand_recorded, true)) {
    short_demand_.record_job(job.spec, book_.queue_of(job).priority(),
                             clock_.now());
  }
  bool runs = false;
  bool waits = false;
  bool due = false;
  bool open = false;
  for (uint32_t time = 0; time < job.times.size(); ++time) {
    const auto& steps = job.times[time];
    const bool time_is_due = due_since(job, time).has_value();
    for (uint32_t step = 0; step < steps.size(); ++step) {
      const step_entry& it = steps[step];
      runs = runs || it.running > 0;
      if (it.done + it.running >= it.tasks.size()) continue;
      waits = true;
      if (!time_is_due) continue;
      due = true;
      const task_key first{number, time, step, 0};
      open =
          open ||
          (book_.dependencies_done(job, time, step) &&
           (retry_is_due(first) ||
            may_fit_on_freed_worker(job.spec.steps(static_cast<int>(step)))));
    }
  }
  if (due && !tracking.due_at) tracking.due_at = clock_.now();
  if (!waits) return false;
  if (runs) tracking.idle_since.reset();
  if (!runs && !tracking.idle_since) tracking.idle_since = clock_.now();
  return open;
}

std::vector<fleet_scheduler::waiting_job> fleet_scheduler::waiting_jobs() {
  std::vector<waiting_job> jobs;
  if (settings_.decisions.overload_order) review_overload();
  for (const auto& [order, number] : book_.live()) {
    const job_entry& job = *book_.find(number);
    if (!has_tasks_to_place(number, job)) continue;
    jobs.push_back({current_job_order(number, job), number, &job,
                    is_starved(tracking_of(number))});
  }
  std::stable_sort(jobs.begin(), jobs.end(), [](const auto& a, const auto& b) {
    return a.order < b.order;
  });
  return jobs;
}

fleet::run_starts fleet_scheduler::plan(uint64_t wall_ms,
                                        unsigned stretch_percent) {
  stretch_percent_ = stretch_percent;
  only_open_ = stretch_percent > detail::percent;
  wall_ms_ = wall_ms;
  wall_read_at_ = clock_.now();
  proposed_.clear();
  workers_.groups().proposing.retain_if([this](worker_view& it) {
    for (const auto& [run, step] : it.proposed_starts)
      proposed_[run.task] = it.id;
    return !it.proposed_starts.empty();
  });
  record_suspect_trials();
  record_recovery_trials();
  fleet::run_starts out;
  freed_ = take_freed_workers();
  open_workers_.reset();
  plan_workers_.reset();
  pool_uses_.clear();
  evaluations_left_ =
      settings_.max_plan_evaluations * detail::percent / stretch_percent;
  cut_short_ = false;
  const std::vector<waiting_job> jobs = waiting_jobs();
  if (jobs.empty()) return out;
  for (const waiting_job& it : jobs) {
    cut_short_ = evaluations_left_ == 0;
    plans_cut_short_ += cut_short_;
    if (cut_short_) return out;
    plan_job(it, out);
  }
  return out;
}

fleet_scheduler::pending_step fleet_scheduler::pending_step_of(
    const job_entry& job, const task_key& first, bool starved) {
  const fleet::step_spec& spec = job.spec.steps(static_cast<int>(first.step));
  const fleet::queue_route& queue = book_.queue_of(job);
  return {spec,
          queue.pool(),
          first,
          model_.id_of(spec.image()),
          starved,
          queue.priority(),
          spec.long_running() && has_interrupted_tasks(first),
          spec.long_running() && has_failed_start(first)};
}

void fleet_scheduler::plan_job(const waiting_job& job, fleet::run_starts& out) {
  for (uint32_t time = 0; time < job.entry->times.size(); ++time) {
    if (!due_since(*job.entry, time)) return;
    const auto& steps = job.entry->times[time];
    for (uint32_t step = 0; step < steps.size(); ++step) {
      const step_entry& it = steps[step];
      if (it.done + it.running >= it.tasks.size()) continue;
      if (!book_.dependencies_done(*job.entry, time, step)) continue;
      plan_step(job, time, step, out);
    }
  }
}

bool fleet_scheduler::is_proposed(const task_key& task) const {
  return proposed_.contains(task);
}

int64_t fleet_scheduler::expected_free_cpu(const worker_view& it) const {
  const auto use = [&](uint64_t cpu, unsigned share) {
    return static_cast<int64_t>(cpu * share / detail::percent);
  };
  const auto capacity = static_cast<int64_t>(it.beat.cpu_milli());
  return capacity - use(it.load.cpu - it.load.serving_cpu, detail::percent) -
         use(it.load.serving_cpu, settings_.serving_use_percent) -
         use(it.load.backfill_cpu, detail::percent);
}

/// True if a worker has free capacity for a task of the step. Reservations for
/// the step itself or for less urgent ones count as free: else an urgent task
/// would wait while the capacity is idle.
bool fleet_scheduler::fits(const worker_view& it,
                           const pending_step& step) const {
  const fleet::step_spec& spec = step.spec;
  const fleet::worker_beat& capacity = it.beat;
  resources taken{it.load.cpu + spec.cpu_milli(),
                  it.load.memory_mb + spec.memory_mb(),
                  it.load.accelerators + spec.accelerators()};
  const auto has_capacity = [&] {
    return taken.memory_mb <= capacity.memory_mb() &&
           taken.accelerators <= capacity.accelerators() &&
           (spec.fills() || taken.cpu <= capacity.cpu_milli());
  };
  if (!has_capacity() || is_testing(it, step)) return false;
  // A task that crashed the previous incarnation could crash this one before
  // the crash of the previous one is known.
  if (workers_.is_unsettled(it) && has_interrupted_tasks(step.first))
    return false;
  for (const capacity_reservation& kept : it.reservations) {
    if (kept.step == step.first || !blocks(kept, step.priority)) continue;
    taken.add({kept.cpu, kept.memory_mb, kept.accelerators});
  }
  if (!has_capacity()) return false;
  if (!spec.fills()) return true;
  return step.starved || allows_backfill(it, step);
}

/// True if a backfill task would make progress on the worker.
bool fleet_scheduler::allows_backfill(const worker_view& it,
                                      const pending_step& step) const {
  const auto unfit = it.image_barred_until.find(step.image);
  if (unfit != it.image_barred_until.end() && unfit->second > clock_.now()) {
    return false;
  }
  const auto wanted = static_cast<int64_t>(step.spec.cpu_milli() *
                                           settings_.min_backfill_cpu_percent /
                                           detail::percent);
  return expected_free_cpu(it) >= wanted &&
         expected_share(it, step) * detail::percent >=
             settings_.min_backfill_pace_percent;
}

/// 1 if all serving tasks of the worker have this image, 0 if there are none,
/// else the negated share of those with other images.
double fleet_scheduler::image_affinity(const worker_view& it,
                                       image_id image) const {
  uint32_t same = 0;
  uint32_t all = 0;
  for (const auto& [other, n] : it.load.serving) {
    all += n;
    if (other == image) same = n;
  }
  if (all == 0) return 0;
  return same == all ? 1 : -static_cast<double>(all - same) / all;
}

double fleet_scheduler::score(const worker_view& it,
                              const pending_step& step) const {
  const fleet::step_spec& spec = step.spec;
  double score = static_cast<double>(expected_free_cpu(it));
  score -= detail::same_step_penalty * it.load.tasks_of_step(step.first);
  const std::string& rack = spec.affinity_rack();
  if (!rack.empty() && has_label(it.beat, rack)) score += detail::rack_bonus;
  if (spec.fills()) {
    const double share = expected_share(it, step);
    score *= share;
    const bool undisturbed = share >= 1 && !tolerates_backfill(it);
    if (undisturbed) score += detail::spared_worker_penalty;
  } else if (spec.target_ms() <= 0 && tolerates_backfill(it)) {
    score -= detail::spared_worker_penalty;
  }
  if (is_cold(it)) score -= detail::cold_start_penalty;
  if (it.avoided_times > 0) score -= detail::recovering_penalty;
  const bool gets_order_soon =
      step.start_failed ? has_open_call(it) : calls_or_due_soon(it);
  if (step.urgent && !gets_order_soon) score -= detail::late_call_penalty;
  if (spec.target_ms() > 0) {
    score += detail::image_bonus * image_affinity(it, step.image);
  }
  return score;
}

/// Called for each worker and step, so the clock is read only if needed.
bool fleet_scheduler::is_cold(const worker_view& it) const {
  if (it.beat.cold_left_ms() == 0) return false;
  const milliseconds left(static_cast<int64_t>(it.beat.cold_left_ms()));
  return clock_.now() - it.last_heartbeat_at < left;
}

/// True if the worker would get an order at once or within `soon`. A worker
/// whose call is late may be lost.
bool fleet_scheduler::calls_or_due_soon(const worker_view& it) const {
  if (it.respond) return has_open_call(it);
  const milliseconds left = it.call_due - clock_.now();
  return -detail::soon <= left && left <= detail::soon;
}

/// Score of the worker for a task of the step; none if it must not run there.
std::optional<double> fleet_scheduler::score_if_allowed(
    const pending_step& step, const worker_view& it) const {
  if (!fits(it, step) || !meets_constraints(it, step)) return std::nullopt;
  return score(it, step);
}

/// True if the worker satisfies all constraints of the step but capacity.
bool fleet_scheduler::meets_constraints(const worker_view& it,
                                        const pending_step& step) const {
  const fleet::step_spec& spec = step.spec;
  if (it.beat.pool() != step.pool) return false;
  const std::string& label = spec.requires_label();
  if (!label.empty() && !has_label(it.beat, label)) return false;
  return spec.anti_affinity() == 0 ||
         it.load.tasks_of_step(step.first) < spec.anti_affinity();
}

}  // namespace kestrelreel

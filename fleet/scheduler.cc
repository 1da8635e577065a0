#include "fleet/scheduler.h"

#include <algorithm>
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
/// A worker that is slow from its start is taken when no other will do: those
/// of a data centre that is taken back are all empty and would draw every task
/// that waits. Above all but a task's data, which costs it as much.
constexpr double cold_cost = 300'000;
/// A task that was interrupted has spent most of what the users bear on its
/// lease: above a place among others of its image.
constexpr double late_call_cost = 200'000;
/// Calls that come within this are as good as one that waits.
constexpr milliseconds soon{300};

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

/// The first reason for which the worker gets no new work; null for none.
const char* fleet_scheduler::ruled_out_by(const worker_view& it) const {
  const time_point now = clock_.now();
  if (!it.has_heartbeat) return "unheard";
  if (it.loss_proposed || it.superseded) return "another-life";
  if (it.is_leaving || it.beat.draining()) return "leaving";
  if (is_evacuated(it)) return "evacuated";
  if (it.avoided_until > now) return "avoided";
  if (it.last_timely_heartbeat_at <= it.starts_recalled_at) return "taken-back";
  const time_point silent_at =
      it.last_timely_heartbeat_at + settings_.silent_limit;
  if (now >= std::max(silent_at, it.overdue_at())) return "silent";
  return nullptr;
}

bool fleet_scheduler::is_usable(const worker_view& it) const {
  return ruled_out_by(it) == nullptr;
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

bool fleet_scheduler::is_open(const worker_view& it) const {
  return it.respond &&
         clock_.now() - it.call_received_at + it.delay < settings_.open_limit;
}

/// Where the present plan may place tasks.
std::vector<worker_view*> fleet_scheduler::places_now() {
  std::vector<worker_view*> all = candidates();
  if (only_open_) std::erase_if(all, [&](auto* it) { return !is_open(*it); });
  return all;
}

/// Workers whose call is held, those first that were heard last.
std::vector<worker_view*> fleet_scheduler::open_places() {
  std::vector<worker_view*> all =
      workers_.groups().held_calls.last(settings_.most_open_places);
  std::erase_if(all, [&](worker_view* it) {
    if (!is_usable(*it) || !is_open(*it)) return true;
    if (std::exchange(it->load_is_stale, false)) it->load = load_of(*it);
    return false;
  });
  return all;
}

/// True when nothing of a job that could run has run for long.
bool fleet_scheduler::is_starved(const job_plan& plan) const {
  return plan.idle_since &&
         clock_.now() - *plan.idle_since >= settings_.starved_after;
}

fleet_scheduler::job_plan& fleet_scheduler::plan_of(job_number number) {
  const auto [it, fresh] = plans_.try_emplace(number);
  if (fresh) it->second.accepted = clock_.now();
  return it->second;
}

job_order fleet_scheduler::order_now(job_plan& plan, const job_entry& job) {
  const time_point now = clock_.now();
  job_order order = order_of(job, book_.queue_of(job), plan.accepted, now);
  if (order.standing != job_standing::lasting) return order;
  if (!plan.waits_since) plan.waits_since = now;
  if (now - *plan.waits_since < settings_.lasting_first_after) return order;
  order.deadline = *plan.waits_since;
  order.standing = job_standing::in_time;
  if (!was_interrupted(job)) return order;
  order.standing = job_standing::pressing;
  order.size = size_of(job);
  return order;
}

/// Notes what the job's tasks do; true when a step of it is worth a try. Most
/// live jobs have nothing to place: to look at each in full took half of the
/// planning at 1,100 workers.
bool fleet_scheduler::can_be_tried(job_number number, const job_entry& job) {
  job_plan& plan = plan_of(number);
  if (!std::exchange(plan.noted, true)) {
    short_demand_.note(job.spec, book_.queue_of(job).priority(), clock_.now());
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
      open = open ||
             (book_.dependencies_done(job, time, step) &&
              (may_try(first) ||
               may_fit_where_freed(job.spec.steps(static_cast<int>(step)))));
    }
  }
  if (!due) plan.waits_since.reset();
  if (!waits) return false;
  if (runs) plan.idle_since.reset();
  if (!runs && !plan.idle_since) plan.idle_since = clock_.now();
  return open;
}

std::vector<fleet_scheduler::waiting_job> fleet_scheduler::waiting_jobs() {
  std::vector<waiting_job> jobs;
  for (const auto& [order, number] : book_.live()) {
    const job_entry& job = *book_.find(number);
    if (!can_be_tried(number, job)) continue;
    job_plan& plan = plan_of(number);
    jobs.push_back({order_now(plan, job), number, &job, is_starved(plan)});
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
  wall_told_at_ = clock_.now();
  proposed_.clear();
  workers_.groups().proposing.retain_if([this](worker_view& it) {
    for (const auto& [run, step] : it.proposed_starts)
      proposed_[run.task] = it.id;
    return !it.proposed_starts.empty();
  });
  note_tries();
  fleet::run_starts out;
  freed_ = take_freed();
  open_.reset();
  uses_.clear();
  looks_left_ = settings_.most_plan_looks * detail::percent / stretch_percent;
  cut_short_ = false;
  const std::vector<waiting_job> jobs = waiting_jobs();
  if (jobs.empty()) return out;
  // Filled by the first step that is tried.
  std::vector<worker_view*> all;
  for (const waiting_job& it : jobs) {
    cut_short_ = looks_left_ == 0;
    if (cut_short_) return out;
    plan_job(it, all, out);
  }
  return out;
}

fleet_scheduler::step_to_place fleet_scheduler::place_of(const job_entry& job,
                                                         const task_key& first,
                                                         bool starved) {
  const fleet::step_spec& spec = job.spec.steps(static_cast<int>(first.step));
  const fleet::queue_route& queue = book_.queue_of(job);
  return {spec,
          queue.pool(),
          first,
          model_.id_of(spec.image()),
          starved,
          queue.priority(),
          spec.long_running() && has_interrupted(first)};
}

void fleet_scheduler::plan_job(const waiting_job& job,
                               std::vector<worker_view*>& all,
                               fleet::run_starts& out) {
  for (uint32_t time = 0; time < job.entry->times.size(); ++time) {
    if (!due_since(*job.entry, time)) return;
    const auto& steps = job.entry->times[time];
    for (uint32_t step = 0; step < steps.size(); ++step) {
      const step_entry& it = steps[step];
      if (it.done + it.running >= it.tasks.size()) continue;
      if (!book_.dependencies_done(*job.entry, time, step)) continue;
      plan_step(job, time, step, all, out);
    }
  }
}

bool fleet_scheduler::is_proposed(const task_key& task) const {
  return proposed_.contains(task);
}

int64_t fleet_scheduler::left_over(const worker_view& it) const {
  const auto use = [&](uint64_t cpu, unsigned share) {
    return static_cast<int64_t>(cpu * share / detail::percent);
  };
  const auto capacity = static_cast<int64_t>(it.beat.cpu_milli());
  return capacity - use(it.load.cpu - it.load.serving_cpu, detail::percent) -
         use(it.load.serving_cpu, settings_.serving_use_percent) -
         use(it.load.backfill_cpu, detail::percent);
}

/// Room that is kept counts, unless for the step itself or a less urgent one:
/// else an urgent task would wait beside what lies idle.
bool fleet_scheduler::fits(const worker_view& it,
                           const step_to_place& step) const {
  const fleet::step_spec& spec = step.spec;
  const fleet::worker_beat& room = it.beat;
  gain taken{it.load.cpu + spec.cpu_milli(),
             it.load.memory_mb + spec.memory_mb(),
             it.load.accelerators + spec.accelerators()};
  const auto has_room = [&] {
    return taken.memory_mb <= room.memory_mb() &&
           taken.accelerators <= room.accelerators() &&
           (spec.fills() || taken.cpu <= room.cpu_milli());
  };
  if (!has_room() || is_trying(it, step)) return false;
  // A task that crashed the life before would crash this one, before it shows
  // that the other is over.
  if (workers_.is_unsettled(it) && has_interrupted(step.first)) return false;
  for (const capacity_reservation& kept : it.reservations) {
    if (kept.step == step.first || !binds(kept, step.priority)) continue;
    taken.add({kept.cpu, kept.memory_mb, kept.accelerators});
  }
  if (!has_room()) return false;
  if (!spec.fills()) return true;
  return step.starved || bears(it, step);
}

/// True where a fill task would get on.
bool fleet_scheduler::bears(const worker_view& it,
                            const step_to_place& step) const {
  const auto unfit = it.image_barred_until.find(step.image);
  if (unfit != it.image_barred_until.end() && unfit->second > clock_.now()) {
    return false;
  }
  const auto wanted = static_cast<int64_t>(
      step.spec.cpu_milli() * settings_.fill_share_percent / detail::percent);
  return left_over(it) >= wanted &&
         expected_share(it, step) * detail::percent >=
             settings_.least_pace_percent;
}

/// 1 on a worker that serves only with this image, 0 on one that does not
/// serve, and less than 0 the more it serves with others.
double fleet_scheduler::alike(const worker_view& it, image_id image) const {
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
                              const step_to_place& step) const {
  const fleet::step_spec& spec = step.spec;
  double score = static_cast<double>(left_over(it));
  score -= detail::crowd_cost * it.load.tasks_of_step(step.first);
  const std::string& rack = spec.affinity_rack();
  if (!rack.empty() && has_label(it.beat, rack)) score += detail::rack_bonus;
  if (spec.fills()) {
    const double share = expected_share(it, step);
    score *= share;
    const bool anywhere = share >= 1 && !bears_all(it);
    if (anywhere) score += detail::spared_cost;
  } else if (spec.target_ms() <= 0 && bears_all(it)) {
    score -= detail::spared_cost;
  }
  if (is_cold(it)) score -= detail::cold_cost;
  if (step.urgent && !calls_soon(it)) score -= detail::late_call_cost;
  if (spec.target_ms() > 0) {
    score += detail::image_bonus * alike(it, step.image);
  }
  return score;
}

/// Asked for each worker and step: the clock is read only where it matters.
bool fleet_scheduler::is_cold(const worker_view& it) const {
  if (it.beat.cold_left_ms() == 0) return false;
  const milliseconds left(static_cast<int64_t>(it.beat.cold_left_ms()));
  return clock_.now() - it.last_heartbeat_at < left;
}

/// True where an order would go out at once, or nearly so. One whose call is
/// late may be lost.
bool fleet_scheduler::calls_soon(const worker_view& it) const {
  if (it.respond) return is_open(it);
  const milliseconds left = it.call_due - clock_.now();
  return -detail::soon <= left && left <= detail::soon;
}

/// How well a task would stand on a worker; none where it must not run.
std::optional<double> fleet_scheduler::value_of(const step_to_place& step,
                                                const worker_view& it) const {
  if (!fits(it, step) || !may_carry(it, step)) return std::nullopt;
  return score(it, step);
}

/// True when nothing but room may bar a task of the step from the worker.
bool fleet_scheduler::may_carry(const worker_view& it,
                                const step_to_place& step) const {
  const fleet::step_spec& spec = step.spec;
  if (it.beat.pool() != step.pool) return false;
  const std::string& label = spec.requires_label();
  if (!label.empty() && !has_label(it.beat, label)) return false;
  return spec.anti_affinity() == 0 ||
         it.load.tasks_of_step(step.first) < spec.anti_affinity();
}

}  // namespace kestrelreel

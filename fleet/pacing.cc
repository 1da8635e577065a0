// Sets the pace of backfill tasks that share a worker with serving tasks.
#include <algorithm>
#include <cmath>

#include "fleet/scheduler.h"
#include "scheduling/backfill-throttle.h"

namespace kestrelreel {
namespace detail {

/// Age of a reading, which is the average of the last half second.
constexpr milliseconds reading_age{250};
/// Mean age of an order in force: it takes effect after its transfer and holds
/// until the next one does.
constexpr milliseconds order_age{350};
/// An own load above this comes from a faulty worker, not from users' requests.
constexpr double faulty_load = 0.95;
/// Excess of a task's load over the model: weight of the newest reading, the
/// part that is noise, and the upper bound.
constexpr double excess_weight = 0.3;
constexpr double excess_noise = 0.03;
constexpr double max_excess = 0.2;
/// A pace holds for the interval between two readings and an order's way.
constexpr milliseconds review_interval{1'000};
/// Processors of the reference worker to which uses and costs are scaled.
constexpr double reference_cpu_milli = 32'000;
/// Pace granularity in percent, so that noise triggers no orders.
constexpr double pace_step = 10;

/// A serving task over its target for this long stops all backfill tasks on its
/// worker, whatever their estimated cost. Users tolerate 5,500 ms; the readings
/// lag by a second, and the order takes a heartbeat.
constexpr milliseconds stop_after{3'000};
/// Headroom from which the backfill tasks may run again.
constexpr double resume_headroom = 1.2;
/// A backfill task below this share for this long may be moved. The share
/// equals the cost of a move: a stop, a restore and a start take about a
/// second.
constexpr double throttled_share = 0.3;
constexpr milliseconds move_after{1'500};
constexpr size_t max_moves = 12;
/// Runs for which one tick searches a better worker: a search over 1,100
/// workers takes about 0.1 ms.
constexpr size_t max_searches = 24;
/// How long a worker that throttled an image gets no more tasks of that image:
/// about a third of the period of load swings.
constexpr milliseconds image_ban_time{4'000};
/// A task without checkpoints is moved up to this progress, later only after
/// the longer wait, since its job waits for it as well.
constexpr uint32_t early_progress_percent = 15;
constexpr milliseconds forced_move_after{4'000};
/// Share at which a moved task must be able to run on its new worker; the lower
/// one applies after the longer wait.
constexpr double min_move_share = 0.9;
constexpr double min_forced_move_share = 0.6;
/// A task that saves its progress becomes pending again after this long even
/// without a better worker: the oldest jobs get the next good one.
constexpr milliseconds requeue_after{6'000};
/// A task counts as throttled until it reaches this share; short bursts below
/// it do not end the state.
constexpr double unthrottled_share = 0.6;

task_key step_key(const task_key& task) {
  return {task.job, task.time, task.step, 0};
}

double reference_use(const fleet::worker_beat& beat, double cpu_milli) {
  const auto capacity =
      static_cast<double>(std::max<uint64_t>(beat.cpu_milli(), 1));
  return cpu_milli / capacity * reference_cpu_milli / 1'000;
}

}  // namespace detail

std::vector<fleet_scheduler::serving_task> fleet_scheduler::serving_tasks(
    const worker_view& it) {
  std::vector<serving_task> all;
  for (const auto& [run, row] : it.rows) {
    const fleet::step_spec* step = book_.find_step(run.task);
    // Below 100 percent progress the task is starting; its reading is not
    // usable yet.
    if (step == nullptr || step->target_ms() <= 0 || row.reading() <= 0 ||
        row.percent() < full_pace_percent) {
      continue;
    }
    const double tail_share = row.reading() / step->target_ms();
    const double load = 1 - 1 / (tail_share * idle_headroom);
    all.push_back({run, step, model_.id_of(step->image()), tail_share,
                   std::max(0.0, load)});
  }
  return all;
}

std::vector<fleet_scheduler::backfill_task> fleet_scheduler::backfill_tasks(
    const worker_view& it) {
  std::vector<backfill_task> all;
  for (const auto& [run, row] : it.rows) {
    const fleet::step_spec* step = book_.find_step(run.task);
    if (step == nullptr || !step->fills()) continue;
    all.push_back(
        {run, step, model_.id_of(step->image()),
         detail::reference_use(it.beat, row.reading()),
         detail::reference_use(it.beat, static_cast<double>(step->cpu_milli())),
         1.0});
  }
  return all;
}

/// Updates the model from a heartbeat and sets the worker's backfill paces.
void fleet_scheduler::pace(worker_view& it) {
  const std::vector<serving_task> serving = serving_tasks(it);
  std::vector<backfill_task> tasks = backfill_tasks(it);
  if (settings_.decisions.throttle_by_slack && !serving.empty()) {
    for (backfill_task& backfill : tasks)
      backfill.slack = backfill_slack(backfill.run);
  }
  std::vector<image_use> use;
  use.reserve(tasks.size());
  for (const backfill_task& backfill : tasks)
    use.push_back({backfill.image, backfill.use});
  std::erase_if(it.load_excess,
                [&](const auto& p) { return !it.rows.contains(p.first); });
  for (const serving_task& task : serving) update_model(it, task, use);
  for (const serving_task& task : serving) throttle_backfill(it, task, tasks);
  enforce_targets(it, serving, tasks);
  mark_throttled(it, tasks);
  it.pace.clear();
  for (const backfill_task& backfill : tasks) {
    const double percent =
        std::floor(backfill.share * full_pace_percent / detail::pace_step) *
        detail::pace_step;
    it.pace[backfill.run] = static_cast<unsigned>(percent);
  }
}

/// Last resort, independent of the model.
void fleet_scheduler::enforce_targets(worker_view& it,
                                      const std::vector<serving_task>& serving,
                                      std::vector<backfill_task>& tasks) {
  std::erase_if(it.over_target_since,
                [&](const auto& p) { return !it.rows.contains(p.first); });
  bool stop = false;
  for (const serving_task& task : serving) {
    const auto since = it.over_target_since.find(task.run);
    if (since == it.over_target_since.end()) {
      if (task.tail_share > 1)
        it.over_target_since[task.run] = it.last_timely_heartbeat_at;
      continue;
    }
    const bool over_too_long =
        it.last_timely_heartbeat_at - since->second >= detail::stop_after;
    const double until = over_too_long ? detail::resume_headroom : 1;
    if (task.tail_share * until <= 1) {
      it.over_target_since.erase(since);
    } else if (over_too_long) {
      stop = true;
    }
  }
  if (!stop) return;
  for (backfill_task& backfill : tasks) backfill.share = 0;
}

void fleet_scheduler::mark_throttled(worker_view& it,
                                     const std::vector<backfill_task>& tasks) {
  std::erase_if(it.throttled_since,
                [&](const auto& p) { return !it.rows.contains(p.first); });
  for (const backfill_task& backfill : tasks) {
    if (backfill.share < detail::throttled_share) {
      workers_.groups().throttled.add(it);
      const auto since =
          it.throttled_since
              .try_emplace(backfill.run, it.last_timely_heartbeat_at)
              .first;
      if (it.last_timely_heartbeat_at - since->second >= detail::move_after) {
        it.image_barred_until[backfill.image] =
            it.last_timely_heartbeat_at + detail::image_ban_time;
      }
    } else if (backfill.share >= detail::unthrottled_share) {
      it.throttled_since.erase(backfill.run);
    }
  }
}

bool fleet_scheduler::may_move(const worker_view& it,
                               const run_key& run) const {
  const auto since = it.throttled_since.find(run);
  if (since == it.throttled_since.end()) return false;
  const milliseconds throttled_for =
      it.last_timely_heartbeat_at - since->second;
  if (throttled_for < detail::move_after) return false;
  const auto row = it.rows.find(run);
  const fleet::step_spec* step = book_.find_step(run.task);
  if (row == it.rows.end() || step == nullptr || step->gang()) return false;
  return throttled_for >= detail::forced_move_after || step->saves_progress() ||
         row->second.percent() <= detail::early_progress_percent;
}

worker_view* fleet_scheduler::find_better_worker(
    const worker_view& from, const run_key& run,
    const std::vector<worker_view*>& all) {
  const job_entry* job = book_.find(run.task.job);
  if (job == nullptr || !job->live()) return nullptr;
  const pending_step step =
      pending_step_of(*job, detail::step_key(run.task), false);
  worker_view* it = nullptr;
  double best = 0;
  count_evaluations(all.size());
  for (worker_view* target : all) {
    const auto value = score_if_allowed(step, *target);
    if (!value || (it != nullptr && *value <= best)) continue;
    it = target;
    best = *value;
  }
  if (it == nullptr || it == &from) return nullptr;
  const milliseconds throttled_for =
      from.last_timely_heartbeat_at - from.throttled_since.at(run);
  const double min_share = throttled_for >= detail::forced_move_after
                               ? detail::min_forced_move_share
                               : detail::min_move_share;
  return expected_share(*it, step) >= min_share ? it : nullptr;
}

/// Each search compares all workers, so a call examines a bounded number of
/// throttled runs; the next call continues after them.
std::vector<run_key> fleet_scheduler::moves() {
  std::vector<run_key> runs;
  std::vector<worker_view*> all;
  size_t searches = 0;
  worker_set& throttled = workers_.groups().throttled;
  throttled.retain_if(
      [](const auto& it) { return !it.throttled_since.empty(); });
  for (worker_view* it : throttled.starting_after(last_move_ordinal_)) {
    worker_view& from = *it;
    last_move_ordinal_ = from.ordinal;
    for (const auto& [run, since] : from.throttled_since) {
      if (!may_move(from, run)) continue;
      if (runs.size() >= detail::max_moves) return runs;
      if (++searches > detail::max_searches) return runs;
      if (all.empty()) all = candidates();
      worker_view* target = find_better_worker(from, run, all);
      const fleet::step_spec& spec = *book_.find_step(run.task);
      const bool requeue =
          spec.saves_progress() &&
          from.last_timely_heartbeat_at - since >= detail::requeue_after;
      if (target == nullptr && !requeue) continue;
      if (target != nullptr) {
        target->load.add(run.task, spec, model_.id_of(spec.image()));
        // No start is proposed yet, so the load is recomputed before the next
        // use.
        target->load_is_stale = true;
      }
      runs.push_back(run);
    }
  }
  return runs;
}

/// Load that backfill tasks add to a serving task, as a share of its own load.
double fleet_scheduler::added_load(image_id serving,
                                   const std::vector<image_use>& use) const {
  double sum = 0;
  for (const auto& [image, n] : use) sum += model_.cost(serving, image) * n;
  return sum;
}

/// Feeds the task's load relative to the step's forecast to the model, and its
/// own load to the forecast.
void fleet_scheduler::update_model(worker_view& it, const serving_task& task,
                                   const std::vector<image_use>& use) {
  load_forecast& forecast = forecasts_[detail::step_key(task.run.task)];
  const image_id image = task.image;
  const time_point read_at = it.last_timely_heartbeat_at - detail::reading_age;
  if (forecast.known()) {
    const double expected = forecast.at(read_at);
    const double modelled = expected * (1 + added_load(image, use));
    double& excess = it.load_excess[task.run];
    excess += detail::excess_weight * (task.load - modelled - excess);
    model_.observe(image, task.load / expected - 1, use);
  }
  const double own = task.load / (1 + added_load(image, use));
  if (own < detail::faulty_load) forecast.observe(read_at, own);
}

/// Forecast of the own load of a serving task's step.
double fleet_scheduler::own_load(const task_key& serving,
                                 milliseconds ahead) const {
  static const load_forecast unknown;
  const auto found = forecasts_.find(detail::step_key(serving));
  const load_forecast& it = found == forecasts_.end() ? unknown : found->second;
  return it.at(clock_.now() + ahead);
}

/// Lowers the shares of backfill tasks until a serving task on the worker meets
/// its target, if that costs their jobs little enough.
void fleet_scheduler::throttle_backfill(const worker_view& it,
                                        const serving_task& task,
                                        std::vector<backfill_task>& tasks) {
  const auto known = it.load_excess.find(task.run);
  const double excess = known == it.load_excess.end() ? 0 : known->second;
  const double spare = max_load - std::clamp(excess - detail::excess_noise, 0.0,
                                             detail::max_excess);
  const double own = own_load(task.run.task, detail::order_age);
  double over = 1 - spare / own;
  std::vector<throttle_candidate> candidates;
  for (const backfill_task& backfill : tasks) {
    const double cost = model_.cost(task.image, backfill.image);
    over += cost * backfill.full_use * backfill.share;
    candidates.push_back(
        {cost, backfill.full_use, backfill.share, backfill.slack});
  }
  const std::vector<double> shares =
      throttle(over, candidates,
               {settings_.max_backfill_loss_cores, detail::review_interval});
  for (size_t i = 0; i < shares.size(); ++i) {
    const bool slowed = shares[i] < tasks[i].share;
    if (slowed && tasks[i].slack > milliseconds(0)) ++throttled_by_slack_;
    tasks[i].share = shares[i];
  }
}

/// Share of full pace that a new backfill task could reach on the worker in
/// addition to its serving and backfill tasks.
double fleet_scheduler::expected_share(const worker_view& it,
                                       const pending_step& step) const {
  const double own_use = detail::reference_use(
      it.beat, static_cast<double>(step.spec.cpu_milli()));
  double share = 1;
  for (const auto& [serving, count] : it.load.serving) {
    const double cost = model_.cost(serving, step.image);
    if (cost < negligible_cost) continue;
    double spare = max_added_load;
    for (const auto& [backfill, cpu] : it.load.fills) {
      const double other = model_.cost(serving, backfill);
      if (other < negligible_cost) continue;
      spare -= other * detail::reference_use(it.beat, static_cast<double>(cpu));
    }
    share = std::min(share, std::max(0.0, spare) / (cost * own_use));
  }
  return share;
}

/// True if no known backfill image disturbs the serving tasks of the worker.
bool fleet_scheduler::tolerates_backfill(const worker_view& it) const {
  for (const auto& [image, count] : it.load.serving) {
    if (model_.sensitivity(image) >= negligible_cost) return false;
  }
  return true;
}

void fleet_scheduler::forget(job_number job) {
  tracked_jobs_.erase(job);
  progress_.forget(job);
  const auto of_job = [&](const auto& p) { return p.first.job == job; };
  std::erase_if(forecasts_, of_job);
  std::erase_if(retry_at_, of_job);
  std::erase_if(reported_only_evacuated_,
                [&](const auto& it) { return it.job == job; });
}

}  // namespace kestrelreel

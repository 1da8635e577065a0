// How hard each fill task may work beside serving ones.
#include <algorithm>
#include <cmath>

#include "fleet/scheduler.h"

namespace kestrelreel {
namespace detail {

/// A reading is the average of the last half second.
constexpr milliseconds reading_age{250};
/// An order takes effect a way later and rules until the next one does.
constexpr milliseconds order_age{350};
/// An own load beyond this is that of a worker in trouble, not of its users.
constexpr double troubled_load = 0.95;
/// Weight of the newest reading in what a load exceeds its model by, what of
/// that is noise, and the most that is believed.
constexpr double excess_weight = 0.3;
constexpr double excess_noise = 0.03;
constexpr double most_excess = 0.2;
/// Readings and costs are in use of a worker of this size.
constexpr double reference_cpu_milli = 32'000;
/// Paces are told in steps of so many percent, so that noise tells nothing.
constexpr double pace_step = 10;

/// A serving task that is over its target for so long stops all fill tasks
/// beside it, whatever they are thought to cost. The users bear 5,500 ms; the
/// readings lag by a second, and the order takes a heartbeat.
constexpr milliseconds guard_after{3'000};
/// It lets them work again from this headroom.
constexpr double guard_until = 1.2;
/// A fill task below this share for so long may be moved; the share is what
/// a move (a stop, a restore and a start, about a second) is worth.
constexpr double held_share = 0.3;
constexpr milliseconds move_after{1'500};
constexpr size_t most_moves = 12;
/// Runs looked at for a move in one tick: with 1,100 workers each look takes
/// about 0.1 ms.
constexpr size_t most_looks = 24;
/// A place where an image was held back is left to others for so long: about a
/// third of the users' swings.
constexpr milliseconds unfit_time{4'000};
/// A task without checkpoints is moved at once only at the beginning of its
/// work, later only after a longer wait: its job waits for it as well.
constexpr uint32_t early_percent = 15;
constexpr milliseconds move_anyway_after{4'000};
/// A place must let a moved task work at this share; the lower one after the
/// longer wait.
constexpr double good_share = 0.9;
constexpr double fair_share = 0.6;
/// One that saves its work goes back to the waiting tasks after so long, even
/// while there is no place: the oldest jobs get the next good one.
constexpr milliseconds requeue_after{6'000};
/// From this share on a task is no longer held back; short bursts do not count.
constexpr double free_share = 0.6;

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
    // Below 100 percent the task is still starting and tells nothing yet.
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

std::vector<fleet_scheduler::fill_task> fleet_scheduler::fill_tasks(
    const worker_view& it) {
  std::vector<fill_task> all;
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

/// Learns from a heartbeat's readings and sets the pace of its fill tasks.
void fleet_scheduler::pace(worker_view& it) {
  const std::vector<serving_task> serving = serving_tasks(it);
  std::vector<fill_task> fills = fill_tasks(it);
  std::vector<image_use> use;
  use.reserve(fills.size());
  for (const fill_task& fill : fills) use.push_back({fill.image, fill.use});
  std::erase_if(it.load_excess,
                [&](const auto& p) { return !it.rows.contains(p.first); });
  for (const serving_task& task : serving) learn(it, task, use);
  for (const serving_task& task : serving) hold_back(it, task, fills);
  guard(it, serving, fills);
  note_held(it, fills);
  it.pace.clear();
  for (const fill_task& fill : fills) {
    const double percent =
        std::floor(fill.share * full_pace_percent / detail::pace_step) *
        detail::pace_step;
    it.pace[fill.run] = static_cast<unsigned>(percent);
  }
}

/// The last resort, independent of what the model believes.
void fleet_scheduler::guard(worker_view& it,
                            const std::vector<serving_task>& serving,
                            std::vector<fill_task>& fills) {
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
    const bool long_over =
        it.last_timely_heartbeat_at - since->second >= detail::guard_after;
    const double until = long_over ? detail::guard_until : 1;
    if (task.tail_share * until <= 1) {
      it.over_target_since.erase(since);
    } else if (long_over) {
      stop = true;
    }
  }
  if (!stop) return;
  for (fill_task& fill : fills) fill.share = 0;
}

void fleet_scheduler::note_held(worker_view& it,
                                const std::vector<fill_task>& fills) {
  std::erase_if(it.throttled_since,
                [&](const auto& p) { return !it.rows.contains(p.first); });
  for (const fill_task& fill : fills) {
    if (fill.share < detail::held_share) {
      workers_.groups().held_back.add(it);
      const auto since =
          it.throttled_since.try_emplace(fill.run, it.last_timely_heartbeat_at)
              .first;
      if (it.last_timely_heartbeat_at - since->second >= detail::move_after) {
        it.image_barred_until[fill.image] =
            it.last_timely_heartbeat_at + detail::unfit_time;
      }
    } else if (fill.share >= detail::free_share) {
      it.throttled_since.erase(fill.run);
    }
  }
}

bool fleet_scheduler::may_move(const worker_view& it,
                               const run_key& run) const {
  const auto since = it.throttled_since.find(run);
  if (since == it.throttled_since.end()) return false;
  const milliseconds held = it.last_timely_heartbeat_at - since->second;
  if (held < detail::move_after) return false;
  const auto row = it.rows.find(run);
  const fleet::step_spec* step = book_.find_step(run.task);
  if (row == it.rows.end() || step == nullptr || step->gang()) return false;
  return held >= detail::move_anyway_after || step->saves_progress() ||
         row->second.percent() <= detail::early_percent;
}

worker_view* fleet_scheduler::better_place(
    const worker_view& from, const run_key& run,
    const std::vector<worker_view*>& all) {
  const job_entry* job = book_.find(run.task.job);
  if (job == nullptr || !job->live()) return nullptr;
  const step_to_place step = place_of(*job, detail::step_key(run.task), false);
  worker_view* it = nullptr;
  double best = 0;
  count_looks(all.size());
  for (worker_view* place : all) {
    const auto value = value_of(step, *place);
    if (!value || (it != nullptr && *value <= best)) continue;
    it = place;
    best = *value;
  }
  if (it == nullptr || it == &from) return nullptr;
  const milliseconds held =
      from.last_timely_heartbeat_at - from.throttled_since.at(run);
  const double wanted = held >= detail::move_anyway_after ? detail::fair_share
                                                          : detail::good_share;
  return expected_share(*it, step) >= wanted ? it : nullptr;
}

/// Looks at so many held back runs at most, and goes on where it ended: each
/// look compares all workers.
std::vector<run_key> fleet_scheduler::moves() {
  std::vector<run_key> runs;
  std::vector<worker_view*> all;
  size_t looks = 0;
  worker_set& held_back = workers_.groups().held_back;
  held_back.retain_if(
      [](const auto& it) { return !it.throttled_since.empty(); });
  for (worker_view* held : held_back.starting_after(moves_from_)) {
    worker_view& from = *held;
    moves_from_ = from.ordinal;
    for (const auto& [run, since] : from.throttled_since) {
      if (!may_move(from, run)) continue;
      if (runs.size() >= detail::most_moves) return runs;
      if (++looks > detail::most_looks) return runs;
      if (all.empty()) all = candidates();
      worker_view* place = better_place(from, run, all);
      const fleet::step_spec& spec = *book_.find_step(run.task);
      const bool requeue =
          spec.saves_progress() &&
          from.last_timely_heartbeat_at - since >= detail::requeue_after;
      if (place == nullptr && !requeue) continue;
      if (place != nullptr) {
        place->load.add(run.task, spec, model_.id_of(spec.image()));
        // Nothing is proposed for it yet.
        place->load_is_stale = true;
      }
      runs.push_back(run);
    }
  }
  return runs;
}

/// The share of its own load that the fill tasks' uses add to a serving one's.
double fleet_scheduler::added(image_id serving,
                              const std::vector<image_use>& use) const {
  double sum = 0;
  for (const auto& [image, n] : use) sum += model_.cost(serving, image) * n;
  return sum;
}

/// Tells the model how the task's load compares with what its step's tasks
/// show, and the forecast what its own load is.
void fleet_scheduler::learn(worker_view& it, const serving_task& task,
                            const std::vector<image_use>& use) {
  load_forecast& forecast = forecasts_[detail::step_key(task.run.task)];
  const image_id image = task.image;
  const time_point read_at = it.last_timely_heartbeat_at - detail::reading_age;
  if (forecast.known()) {
    const double expected = forecast.at(read_at);
    const double modelled = expected * (1 + added(image, use));
    double& excess = it.load_excess[task.run];
    excess += detail::excess_weight * (task.load - modelled - excess);
    model_.observe(image, task.load / expected - 1, use);
  }
  const double own = task.load / (1 + added(image, use));
  if (own < detail::troubled_load) forecast.observe(read_at, own);
}

/// The own load of a serving task's step at a time ahead.
double fleet_scheduler::own_load(const task_key& serving,
                                 milliseconds ahead) const {
  static const load_forecast unknown;
  const auto found = forecasts_.find(detail::step_key(serving));
  const load_forecast& it = found == forecasts_.end() ? unknown : found->second;
  return it.at(clock_.now() + ahead);
}

/// Lowers the shares of the fill tasks beside a serving task until it can bear
/// what they add; those that cost it most for their work first. A task whose
/// target would cost more fill work than it is worth stays over it for now.
void fleet_scheduler::hold_back(const worker_view& it, const serving_task& task,
                                std::vector<fill_task>& fills) {
  const image_id image = task.image;
  const auto known = it.load_excess.find(task.run);
  const double excess = known == it.load_excess.end() ? 0 : known->second;
  const double spare = most_load - std::clamp(excess - detail::excess_noise,
                                              0.0, detail::most_excess);
  const double own = own_load(task.run.task, detail::order_age);
  double over = 1 - spare / own;
  std::vector<std::pair<double, fill_task*>> costs;
  for (fill_task& fill : fills) {
    const double cost = model_.cost(image, fill.image);
    over += cost * fill.full_use * fill.share;
    costs.emplace_back(cost, &fill);
  }
  std::stable_sort(
      costs.begin(), costs.end(),
      [](const auto& a, const auto& b) { return a.first > b.first; });
  std::vector<double> shares;
  double lost = 0;
  for (const auto& [cost, fill] : costs) {
    const double part = cost * fill->full_use * fill->share;
    const double kept =
        over <= 0 || part <= 0 ? 1 : std::max(0.0, 1 - over / part);
    over -= part * (1 - kept);
    lost += fill->full_use * fill->share * (1 - kept);
    shares.push_back(fill->share * kept);
  }
  if (lost > settings_.target_cores) return;
  for (size_t i = 0; i < shares.size(); ++i) costs[i].second->share = shares[i];
}

/// The share that a fill task could work at beside the serving tasks of that
/// worker, with the fill tasks that are there already.
double fleet_scheduler::expected_share(const worker_view& it,
                                       const step_to_place& step) const {
  const double own_use = detail::reference_use(
      it.beat, static_cast<double>(step.spec.cpu_milli()));
  double share = 1;
  for (const auto& [serving, count] : it.load.serving) {
    const double cost = model_.cost(serving, step.image);
    if (cost < harmless_cost) continue;
    double room = fill_room;
    for (const auto& [fill, cpu] : it.load.fills) {
      const double other = model_.cost(serving, fill);
      if (other < harmless_cost) continue;
      room -= other * detail::reference_use(it.beat, static_cast<double>(cpu));
    }
    share = std::min(share, std::max(0.0, room) / (cost * own_use));
  }
  return share;
}

/// True when no serving task there suffers from any fill task known.
bool fleet_scheduler::bears_all(const worker_view& it) const {
  for (const auto& [image, count] : it.load.serving) {
    if (model_.sensitivity(image) >= harmless_cost) return false;
  }
  return true;
}

void fleet_scheduler::forget(job_number job) {
  plans_.erase(job);
  const auto of_job = [&](const auto& p) { return p.first.job == job; };
  std::erase_if(forecasts_, of_job);
  std::erase_if(try_again_, of_job);
  std::erase_if(barred_told_, [&](const auto& it) { return it.job == job; });
}

}  // namespace kestrelreel

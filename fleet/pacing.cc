// How hard each fill task may work beside serving ones.
#include <algorithm>
#include <cmath>

#include "fleet/scheduler.h"

namespace kestrelreel {
namespace detail {

/// The headroom to be kept. At 1 a serving task is at its target; the rest
/// covers the lag of the readings, in which its own load moves on.
constexpr double kept_headroom = 1.5;
/// A cost below this is no reason to hold a fill task back.
constexpr double least_cost = 0.02;
/// Readings and costs are in use of a worker of this size.
constexpr double reference_cpu_milli = 32'000;
/// The headroom of a serving task without fill tasks, until it is known: the
/// middle of the users' recorded days.
constexpr double usual_headroom = 2.9;
/// A reading tells of the last half second: two that are closer overlap, and
/// between two far apart the task's own load has moved on.
constexpr milliseconds least_apart{450};
constexpr milliseconds most_apart{1'500};
/// More headroom than that comes of a tail that is hardly one yet.
constexpr double most_headroom = 6;
/// Paces are told in steps of so many percent, so that noise tells nothing.
constexpr double pace_step = 10;

double reference_use(const fleet::worker_beat& beat, double cpu_milli) {
  const auto capacity = static_cast<double>(std::max<uint64_t>(
      beat.cpu_milli(), 1));
  return cpu_milli / capacity * reference_cpu_milli / 1'000;
}

}  // namespace detail

std::vector<fleet_scheduler::serving_task> fleet_scheduler::serving_tasks(
    const worker_view& it) const {
  std::vector<serving_task> all;
  for (const auto& [run, row] : it.rows) {
    const fleet::step_spec* step = book_.find_step(run.task);
    if (step == nullptr || step->target_ms() <= 0 || row.reading() <= 0) {
      continue;
    }
    all.push_back({run, step,
                   std::min(step->target_ms() / row.reading(),
                            detail::most_headroom)});
  }
  return all;
}

std::vector<fleet_scheduler::fill_task> fleet_scheduler::fill_tasks(
    const worker_view& it) const {
  std::vector<fill_task> all;
  for (const auto& [run, row] : it.rows) {
    const fleet::step_spec* step = book_.find_step(run.task);
    if (step == nullptr || !step->fills()) continue;
    all.push_back(
        {run, step, detail::reference_use(it.beat, row.reading()),
         detail::reference_use(it.beat, static_cast<double>(step->cpu_milli())),
         1.0});
  }
  return all;
}

/// Learns from a heartbeat's readings and sets the pace of its fill tasks.
void fleet_scheduler::pace(worker_view& it) {
  const std::vector<serving_task> serving = serving_tasks(it);
  std::vector<fill_task> fills = fill_tasks(it);
  std::map<std::string, double> use;
  for (const fill_task& fill : fills) use[fill.step->image()] += fill.use;
  std::erase_if(it.headroom,
                [&](const auto& p) { return !it.rows.contains(p.first); });
  for (const serving_task& task : serving) {
    learn(it, task, use);
    hold_back(task, fills);
  }
  it.pace.clear();
  for (const fill_task& fill : fills) {
    const double percent = std::floor(fill.share * full_pace /
                                      detail::pace_step) * detail::pace_step;
    it.pace[fill.run] = static_cast<unsigned>(percent);
  }
}

/// Tells the model of the change since the last reading of that task.
void fleet_scheduler::learn(worker_view& it, const serving_task& task,
                            const std::map<std::string, double>& use) {
  headroom_reading& last = it.headroom[task.run];
  const milliseconds apart = it.heard - last.at;
  if (apart < detail::least_apart) return;
  if (last.headroom > 0 && apart < detail::most_apart) {
    std::map<std::string, double> changes = use;
    for (const auto& [image, n] : last.use) changes[image] -= n;
    std::vector<fill_use> all;
    for (const auto& [image, n] : changes) all.push_back({image, n});
    model_.observe(task.step->image(), task.headroom - last.headroom, all);
  }
  last = {it.heard, task.headroom, use};
}

/// Lowers the shares of the fill tasks that cost this task headroom, all by
/// the same factor, until what is kept is left.
void fleet_scheduler::hold_back(const serving_task& task,
                                std::vector<fill_task>& fills) {
  double own = task.headroom;
  double wanted = 0;
  for (const fill_task& fill : fills) {
    const double cost = model_.cost(task.step->image(), fill.step->image());
    own += cost * fill.use;
    if (cost >= detail::least_cost) wanted += cost * fill.full_use;
  }
  const double room = own - detail::kept_headroom;
  if (wanted <= room) return;
  const double share = std::clamp(room / wanted, 0.0, 1.0);
  for (fill_task& fill : fills) {
    const double cost = model_.cost(task.step->image(), fill.step->image());
    if (cost >= detail::least_cost) fill.share = std::min(fill.share, share);
  }
}

/// The share that a fill task could work at beside the serving tasks of that
/// worker, with the fill tasks that are there already.
double fleet_scheduler::expected_share(const candidate& it,
                                       const fleet::step_spec& spec) const {
  const double own_use = detail::reference_use(
      it.view->beat, static_cast<double>(spec.cpu_milli()));
  double share = 1;
  for (const auto& [image, count] : it.load.serving) {
    const double cost = model_.cost(image, spec.image());
    if (cost < detail::least_cost) continue;
    double wanted = cost * own_use;
    for (const auto& [fill, cpu] : it.load.fills) {
      wanted += model_.cost(image, fill) *
                detail::reference_use(it.view->beat, static_cast<double>(cpu));
    }
    const double room = detail::usual_headroom - detail::kept_headroom;
    share = std::min(share, room / wanted);
  }
  return share;
}

}  // namespace kestrelreel

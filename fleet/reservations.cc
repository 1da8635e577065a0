// Room that is kept for lasting tasks that wait, and what gives way to them.
//
// Short tasks take each gap as it opens, so that none grows large enough for a
// larger task. Where one waits too long, a worker is chosen at which room comes
// free soonest and at the least loss; what comes free there is kept for it.
#include <algorithm>
#include <map>
#include <utility>

#include "fleet/scheduler.h"
#include "kernel/log.h"

namespace kestrelreel {
namespace detail {

constexpr const char* service_name = "scheduler";
constexpr size_t hundred = 100;
constexpr double ms_per_s = 1'000;
constexpr double full_percent = 100;
constexpr double milli = 1'000;
/// A task whose time is not told is taken to work on for so long.
constexpr double unknown_s = 10;
/// Below this percent, what a run has done tells little of its pace.
constexpr double telling_percent = 5;
/// What a run that saves its progress loses with a stop: half a second since
/// its last checkpoint, and a quarter to take it up again.
constexpr double unsaved_s = 0.75;
/// A core-second thrown away is worth so many seconds of a lasting task: by the
/// users' worths 0.018 against 0.035.
constexpr double s_per_core_s = 0.5;
/// A place among serving tasks of other images costs paces and targets, one
/// beside tasks of the same step is lost together with them.
constexpr double unlike_s = 0.3;
constexpr double crowd_s = 0.2;
/// A step for which no room could be made is left alone for so long at least,
/// unless it presses, and no more than so many are.
constexpr milliseconds left_alone_for{1'000};
constexpr size_t most_left_alone = 1'000;

uint64_t excess(uint64_t taken, uint64_t room) {
  return taken - std::min(taken, room);
}

/// How long a run works on, by its estimate and by its pace so far.
double remaining_s(const worker_view& it, const run_key& run,
                   const fleet::step_spec& spec, time_point now) {
  const double whole = spec.estimate_ms() > 0
                           ? static_cast<double>(spec.estimate_ms()) / ms_per_s
                           : unknown_s;
  const auto row = it.rows.find(run);
  const auto sent = it.sent.find(run);
  if (row == it.rows.end() || sent == it.sent.end()) return whole;
  const double percent = row->second.percent();
  const double left = std::max(0.0, full_percent - percent);
  const double by_estimate = whole * left / full_percent;
  if (percent < telling_percent) return by_estimate;
  const auto passed = static_cast<double>((now - sent->second).count());
  return std::max(by_estimate, passed / ms_per_s * left / percent);
}

}  // namespace detail

void fleet_scheduler::resources::add(const resources& it) {
  cpu += it.cpu;
  memory_mb += it.memory_mb;
  accelerators += it.accelerators;
}

void fleet_scheduler::resources::take(const resources& it) {
  cpu -= it.cpu;
  memory_mb -= it.memory_mb;
  accelerators -= it.accelerators;
}

bool fleet_scheduler::resources::covers(const resources& need) const {
  return cpu >= need.cpu && memory_mb >= need.memory_mb &&
         accelerators >= need.accelerators;
}

/// That of the step's queue; behind all others once its job is not known.
uint32_t fleet_scheduler::priority_of(const task_key& step) const {
  const job_entry* job = book_.find(step.job);
  return job == nullptr ? UINT32_MAX : book_.queue_of(*job).priority();
}

/// True for room that tasks of that priority leave alone.
bool fleet_scheduler::blocks(const kept_room& kept, uint32_t priority) const {
  return priority_of(kept.step) <= priority;
}

/// True for a run that may be stopped for a lasting task of that priority: for
/// a more urgent one, fill tasks also for one that is as urgent.
bool fleet_scheduler::may_evict(const run_key& run, uint32_t priority) const {
  const fleet::step_spec& spec = *book_.find_step(run.task);
  if (spec.long_running() || spec.gang()) return false;
  const uint32_t own = priority_of(run.task);
  return spec.fills() ? own >= priority : own > priority;
}

/// What stopping the run throws away, in seconds of a lasting task.
double fleet_scheduler::eviction_cost(const worker_view& it,
                                      const run_key& run) const {
  const fleet::step_spec& spec = *book_.find_step(run.task);
  const auto row = it.rows.find(run);
  const double percent = row == it.rows.end() ? 0 : row->second.percent();
  const double done = percent * static_cast<double>(spec.estimate_ms()) /
                      detail::full_percent / detail::ms_per_s;
  const double lost = spec.saves_progress() ? detail::unsaved_s : done;
  return lost * static_cast<double>(spec.cpu_milli()) / detail::milli *
         detail::s_per_core_s;
}

/// How each run there may end, the best first: by itself, or stopped where that
/// costs less than to wait for it.
std::vector<fleet_scheduler::release_option> fleet_scheduler::release_options(
    const worker_view& it, uint32_t priority,
    const std::set<run_key>& stopping) const {
  std::vector<release_option> ways;
  const double stop_s =
      static_cast<double>(settings_.worker_stop.count()) / detail::ms_per_s;
  for (const run_key& run : book_.runs_on(it.id)) {
    const fleet::step_spec* spec = book_.find_step(run.task);
    if (spec == nullptr || spec->long_running()) continue;
    release_option way{run, {}, 0, 0, false};
    way.more.cpu = spec->fills() ? 0 : spec->cpu_milli();
    way.more.memory_mb = spec->memory_mb();
    way.more.accelerators = spec->accelerators();
    way.seconds = detail::remaining_s(it, run, *spec, clock_.now());
    const double cost = stop_s + eviction_cost(it, run);
    if (stopping.contains(run)) {
      way.seconds = std::min(way.seconds, stop_s);
    } else if (may_evict(run, priority) && cost < way.seconds) {
      way.seconds = stop_s;
      way.cost = cost - stop_s;
      way.stop = true;
    }
    ways.push_back(way);
  }
  std::stable_sort(ways.begin(), ways.end(), [](const auto& a, const auto& b) {
    return a.seconds + a.cost < b.seconds + b.cost;
  });
  return ways;
}

/// What one more task of the step lacks at a worker, beside what is kept for
/// tasks as urgent.
fleet_scheduler::resources fleet_scheduler::shortage(
    const worker_view& it, const pending_step& step) const {
  const fleet::step_spec& spec = step.spec;
  resources need{it.load.cpu + spec.cpu_milli(),
                 it.load.memory_mb + spec.memory_mb(),
                 uint64_t{it.load.accelerators} + spec.accelerators()};
  for (const kept_room& kept : it.kept) {
    if (!blocks(kept, step.priority)) continue;
    need.add({kept.cpu, kept.memory_mb, kept.accelerators});
  }
  need.cpu = detail::excess(need.cpu, it.beat.cpu_milli());
  need.memory_mb = detail::excess(need.memory_mb, it.beat.memory_mb());
  need.accelerators = detail::excess(need.accelerators, it.beat.accelerators());
  return need;
}

/// The first ways that make so much room within the limit, without those that
/// the others make up for: what gives way needlessly is work thrown away. None
/// where there aren't enough.
std::optional<fleet_scheduler::chosen_releases>
fleet_scheduler::choose_releases(const resources& need,
                                 const std::vector<release_option>& ways,
                                 milliseconds limit) {
  const double longest = static_cast<double>(limit.count()) / detail::ms_per_s;
  resources all;
  chosen_releases out;
  for (const release_option& way : ways) {
    const resources& more = way.more;
    const bool helps =
        (all.cpu < need.cpu && more.cpu > 0) ||
        (all.memory_mb < need.memory_mb && more.memory_mb > 0) ||
        (all.accelerators < need.accelerators && more.accelerators > 0);
    if (!helps || way.seconds > longest) continue;
    all.add(more);
    out.push_back(&way);
  }
  if (!all.covers(need)) return std::nullopt;
  for (size_t i = out.size(); i-- > 0;) {
    resources rest = all;
    rest.take(out[i]->more);
    if (!rest.covers(need)) continue;
    all = rest;
    out.erase(out.begin() + static_cast<std::ptrdiff_t>(i));
  }
  return out;
}

/// What it takes to make room at a worker; none where none can be made.
std::optional<fleet_scheduler::reservation_plan>
fleet_scheduler::plan_reservation(const worker_releases& worker,
                                  const resources& need,
                                  const pending_step& step,
                                  milliseconds limit) const {
  worker_view& it = *worker.where;
  if (!meets_constraints(it, step)) return std::nullopt;
  auto same = static_cast<uint32_t>(
      std::count_if(it.kept.begin(), it.kept.end(),
                    [&](const auto& kept) { return kept.step == step.first; }));
  same += it.load.of_step(step.first);
  const uint32_t spread = step.spec.anti_affinity();
  if (spread > 0 && same >= spread) return std::nullopt;
  const auto chosen = choose_releases(need, worker.ways, limit);
  if (!chosen) return std::nullopt;
  reservation_plan out{&it, 0, 0, {}};
  for (const release_option* way : *chosen) {
    out.seconds = std::max(out.seconds, way->seconds);
    out.cost += way->cost;
    if (way->stop) out.stops.push_back(way->run);
  }
  out.cost += out.seconds + detail::crowd_s * same -
              detail::unlike_s * image_affinity(it, step.image);
  return out;
}

/// Room is kept no longer than for its time, its task, and its worker's use.
size_t fleet_scheduler::drop_stale() {
  std::map<task_key, uint32_t> wanted;
  size_t n = 0;
  workers_.marks().with_rooms.review([&](worker_view& it) {
    const bool usable = is_usable(it);
    std::erase_if(it.kept, [&](const kept_room& kept) {
      if (!usable || kept.until <= clock_.now()) return true;
      const auto [left, fresh] = wanted.try_emplace(kept.step);
      if (fresh) left->second = unplaced(kept.step, true);
      if (left->second == 0) return true;
      --left->second;
      return false;
    });
    n += it.kept.size();
    return !it.kept.empty();
  });
  return n;
}

std::optional<fleet_scheduler::reservation_plan> fleet_scheduler::best_plan(
    const pending_step& step, std::vector<worker_releases>& workers,
    milliseconds limit, size_t& looks) const {
  std::optional<reservation_plan> best;
  for (worker_releases& it : workers) {
    const resources need = shortage(*it.where, step);
    // In a full fleet hardly a worker could hold it, whatever ends there.
    if (!it.most.covers(need)) continue;
    ++looks;
    std::optional<reservation_plan> found =
        plan_reservation(it, need, step, limit);
    if (!found || (best && best->cost <= found->cost)) continue;
    best = std::move(found);
  }
  return best;
}

/// The least urgent room, if it does not bind tasks of that priority.
std::optional<fleet_scheduler::reservation_ref>
fleet_scheduler::find_less_urgent(uint32_t priority) {
  std::optional<reservation_ref> out;
  workers_.marks().with_rooms.review([&](worker_view& it) {
    for (size_t i = 0; i < it.kept.size(); ++i) {
      const uint32_t own = priority_of(it.kept[i].step);
      if (own <= priority) continue;
      priority = own;
      out = reservation_ref{&it, i};
    }
    return !it.kept.empty();
  });
  return out;
}

/// Less urgent rooms make way: they were not counted where the new one opens,
/// and there are no more in all than may be.
void fleet_scheduler::drop_less_urgent(worker_view& where, uint32_t priority,
                                       reservation_round& look) {
  look.made.all -= std::erase_if(
      where.kept, [&](const auto& kept) { return !blocks(kept, priority); });
  while (look.made.all >= look.most) {
    const auto room = find_less_urgent(priority);
    if (!room) return;
    auto& kept = room->where->kept;
    kept.erase(kept.begin() + static_cast<std::ptrdiff_t>(room->at));
    --look.made.all;
  }
}

void fleet_scheduler::reserve_for_step(const delayed_step& wait, uint32_t& have,
                                       reservation_round& look) {
  reservation_result& out = look.made;
  if (have >= wait.tasks) return;
  if (wait.fresh) {
    const job_entry& job = *book_.find(wait.first.job);
    const uint64_t room = new_task_capacity(
        book_.queue_of(job).pool(), wait.priority, tracking_of(wait.first.job));
    if (room < wait.cpu) return;
  }
  if (no_reservation_until_.contains(wait.first)) {
    out.left_alone += wait.tasks - have;
    return;
  }
  // Estimates are often far off: what waited long takes the soonest room there
  // is, else small tasks take it piece by piece.
  const bool pressing = !wait.fresh && clock_.now() - wait.since >=
                                           settings_.long_running_first_after;
  const milliseconds limit =
      pressing ? milliseconds::max() : settings_.reservation_ttl;
  const pending_step step =
      pending_step_of(*book_.find(wait.first.job), wait.first, false);
  for (; have < wait.tasks; ++have) {
    if (look.choices >= look.most_choices) return;
    if (out.all >= look.most && !find_less_urgent(wait.priority)) return;
    ++look.choices;
    const auto [workers, fresh] = look.ways.try_emplace(wait.priority);
    if (fresh) workers->second = all_releases(wait.priority, look.stopping);
    const auto best =
        best_plan(step, workers->second, limit, out.workers_examined);
    if (!best) {
      out.without += wait.tasks - have;
      if (no_reservation_until_.size() >= detail::most_left_alone) return;
      no_reservation_until_[wait.first] =
          clock_.now() + (pressing
                              ? look.round
                              : std::max(look.round, detail::left_alone_for));
      return;
    }
    drop_less_urgent(*best->where, wait.priority, look);
    add_reservation(*best, step, workers->second, look);
  }
}

fleet_scheduler::reservation_result fleet_scheduler::reserve_capacity(
    const std::set<run_key>& stopping) {
  const time_point now = clock_.now();
  const size_t n = workers_.views().size();
  const auto pause = std::chrono::duration_cast<milliseconds>(
      settings_.reservation_pause_per_worker * n);
  const milliseconds passed = now - reserved_at_;
  if (passed < pause) return {};
  reserved_at_ = now;
  std::erase_if(no_reservation_until_,
                [&](const auto& it) { return it.second <= now; });
  reservation_round look;
  pool_uses_.clear();
  reservation_result& out = look.made;
  look.stopping = stopping;
  look.most =
      std::max<size_t>(1, n * settings_.max_reserved_percent / detail::hundred);
  look.most_choices = std::max<size_t>(
      1, settings_.max_reservation_evaluations / std::max<size_t>(1, n));
  out.all = drop_stale();
  std::map<task_key, uint32_t> have;
  workers_.marks().with_rooms.review([&](const worker_view& it) {
    for (const kept_room& room : it.kept) ++have[room.step];
    return !it.kept.empty();
  });
  milliseconds longest{0};
  const std::vector<delayed_step> waits =
      delayed_steps(settings_.reserve_after);
  // Else the first ones, looked at again and again, would leave none to others.
  // Half a round less, as the next round may come sooner than this one did.
  look.round = std::min(passed, detail::left_alone_for) *
                   (waits.size() / look.most_choices) +
               std::min(passed, detail::left_alone_for) / 2;
  for (const delayed_step& wait : waits) {
    longest = std::max(longest, now - wait.since);
    reserve_for_step(wait, have[wait.first], look);
  }
  if (out.added + out.without + out.left_alone == 0) return out;
  log_event(detail::service_name, log_level::info, "rooms-kept")
      .with("new", out.added)
      .with("all", out.all)
      .with("most", look.most)
      .with("without", out.without)
      .with("left-alone", out.left_alone)
      .with("stops", out.evictions.size())
      .with("looks", out.workers_examined)
      .with("longest-wait-ms", longest.count());
  return out;
}

/// Notes the room, and that what is stopped for it gives way once only.
void fleet_scheduler::add_reservation(const reservation_plan& it,
                                      const pending_step& step,
                                      std::vector<worker_releases>& workers,
                                      reservation_round& look) {
  const fleet::step_spec& spec = step.spec;
  workers_.marks().with_rooms.add(*it.where);
  it.where->kept.push_back({step.first, spec.cpu_milli(), spec.memory_mb(),
                            spec.accelerators(),
                            clock_.now() + settings_.reservation_ttl});
  ++look.made.all;
  ++look.made.added;
  for (const run_key& run : it.stops) {
    look.made.evictions.push_back({run, step.first});
    look.stopping.insert(run);
  }
  for (worker_releases& other : workers) {
    if (other.where != it.where) continue;
    for (release_option& way : other.ways) {
      const bool stopped = std::find(it.stops.begin(), it.stops.end(),
                                     way.run) != it.stops.end();
      if (!stopped) continue;
      way.stop = false;
      way.cost = 0;
    }
  }
}

}  // namespace kestrelreel

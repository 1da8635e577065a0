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
  const auto sent = it.starts_sent_at.find(run);
  if (row == it.rows.end() || sent == it.starts_sent_at.end()) return whole;
  const double percent = row->second.percent();
  const double left = std::max(0.0, full_percent - percent);
  const double by_estimate = whole * left / full_percent;
  if (percent < telling_percent) return by_estimate;
  const auto passed = static_cast<double>((now - sent->second).count());
  return std::max(by_estimate, passed / ms_per_s * left / percent);
}

}  // namespace detail

void fleet_scheduler::gain::add(const gain& it) {
  cpu += it.cpu;
  memory_mb += it.memory_mb;
  accelerators += it.accelerators;
}

void fleet_scheduler::gain::take(const gain& it) {
  cpu -= it.cpu;
  memory_mb -= it.memory_mb;
  accelerators -= it.accelerators;
}

bool fleet_scheduler::gain::covers(const gain& need) const {
  return cpu >= need.cpu && memory_mb >= need.memory_mb &&
         accelerators >= need.accelerators;
}

/// That of the step's queue; behind all others once its job is not known.
uint32_t fleet_scheduler::priority_of(const task_key& step) const {
  const job_entry* job = book_.find(step.job);
  return job == nullptr ? UINT32_MAX : book_.queue_of(*job).priority();
}

/// True for room that tasks of that priority leave alone.
bool fleet_scheduler::binds(const capacity_reservation& kept,
                            uint32_t priority) const {
  return priority_of(kept.step) <= priority;
}

/// True for a run that may be stopped for a lasting task of that priority: for
/// a more urgent one, fill tasks also for one that is as urgent.
bool fleet_scheduler::may_yield(const run_key& run, uint32_t priority) const {
  const fleet::step_spec& spec = *book_.find_step(run.task);
  if (spec.long_running() || spec.gang()) return false;
  const uint32_t own = priority_of(run.task);
  return spec.fills() ? own >= priority : own > priority;
}

/// What stopping the run throws away, in seconds of a lasting task.
double fleet_scheduler::cost_of_stop(const worker_view& it,
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
std::vector<fleet_scheduler::way_out> fleet_scheduler::ways_out(
    const worker_view& it, uint32_t priority,
    const std::set<run_key>& stopping) const {
  std::vector<way_out> ways;
  const double stop_s =
      static_cast<double>(settings_.worker_stop.count()) / detail::ms_per_s;
  for (const run_key& run : book_.runs_on(it.id)) {
    const fleet::step_spec* spec = book_.find_step(run.task);
    if (spec == nullptr || spec->long_running()) continue;
    way_out way{run, {}, 0, 0, false};
    way.more.cpu = spec->fills() ? 0 : spec->cpu_milli();
    way.more.memory_mb = spec->memory_mb();
    way.more.accelerators = spec->accelerators();
    way.seconds = detail::remaining_s(it, run, *spec, clock_.now());
    const double cost = stop_s + cost_of_stop(it, run);
    if (stopping.contains(run)) {
      way.seconds = std::min(way.seconds, stop_s);
    } else if (may_yield(run, priority) && cost < way.seconds) {
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
fleet_scheduler::gain fleet_scheduler::shortage(
    const worker_view& it, const step_to_place& step) const {
  const fleet::step_spec& spec = step.spec;
  gain need{it.load.cpu + spec.cpu_milli(),
            it.load.memory_mb + spec.memory_mb(),
            uint64_t{it.load.accelerators} + spec.accelerators()};
  for (const capacity_reservation& kept : it.reservations) {
    if (!binds(kept, step.priority)) continue;
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
std::optional<fleet_scheduler::chosen_ways> fleet_scheduler::enough_ways(
    const gain& need, const std::vector<way_out>& ways, milliseconds limit) {
  const double longest = static_cast<double>(limit.count()) / detail::ms_per_s;
  gain all;
  chosen_ways out;
  for (const way_out& way : ways) {
    const gain& more = way.more;
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
    gain rest = all;
    rest.take(out[i]->more);
    if (!rest.covers(need)) continue;
    all = rest;
    out.erase(out.begin() + static_cast<std::ptrdiff_t>(i));
  }
  return out;
}

/// What it takes to make room at a worker; none where none can be made.
std::optional<fleet_scheduler::opening> fleet_scheduler::open_up(
    const worker_ways& worker, const gain& need, const step_to_place& step,
    milliseconds limit) const {
  worker_view& it = *worker.where;
  if (!may_carry(it, step)) return std::nullopt;
  auto same = static_cast<uint32_t>(
      std::count_if(it.reservations.begin(), it.reservations.end(),
                    [&](const auto& kept) { return kept.step == step.first; }));
  same += it.load.tasks_of_step(step.first);
  const uint32_t spread = step.spec.anti_affinity();
  if (spread > 0 && same >= spread) return std::nullopt;
  const auto chosen = enough_ways(need, worker.ways, limit);
  if (!chosen) return std::nullopt;
  opening out{&it, 0, 0, {}};
  for (const way_out* way : *chosen) {
    out.seconds = std::max(out.seconds, way->seconds);
    out.cost += way->cost;
    if (way->stop) out.stops.push_back(way->run);
  }
  out.cost += out.seconds + detail::crowd_s * same -
              detail::unlike_s * alike(it, step.image);
  return out;
}

/// Room is kept no longer than for its time, its task, and its worker's use.
size_t fleet_scheduler::drop_rooms() {
  std::map<task_key, uint32_t> wanted;
  size_t n = 0;
  workers_.groups().with_reservations.retain_if([&](worker_view& it) {
    const bool usable = is_usable(it);
    std::erase_if(it.reservations, [&](const capacity_reservation& kept) {
      if (!usable || kept.until <= clock_.now()) return true;
      const auto [left, fresh] = wanted.try_emplace(kept.step);
      if (fresh) left->second = unplaced(kept.step, true);
      if (left->second == 0) return true;
      --left->second;
      return false;
    });
    n += it.reservations.size();
    return !it.reservations.empty();
  });
  return n;
}

std::optional<fleet_scheduler::opening> fleet_scheduler::best_opening(
    const step_to_place& step, std::vector<worker_ways>& workers,
    milliseconds limit, size_t& looks) const {
  std::optional<opening> best;
  for (worker_ways& it : workers) {
    const gain need = shortage(*it.where, step);
    // In a full fleet hardly a worker could hold it, whatever ends there.
    if (!it.most.covers(need)) continue;
    ++looks;
    std::optional<opening> found = open_up(it, need, step, limit);
    if (!found || (best && best->cost <= found->cost)) continue;
    best = std::move(found);
  }
  return best;
}

/// The least urgent room, if it does not bind tasks of that priority.
std::optional<fleet_scheduler::room_place> fleet_scheduler::lesser_room(
    uint32_t priority) {
  std::optional<room_place> out;
  workers_.groups().with_reservations.retain_if([&](worker_view& it) {
    for (size_t i = 0; i < it.reservations.size(); ++i) {
      const uint32_t own = priority_of(it.reservations[i].step);
      if (own <= priority) continue;
      priority = own;
      out = room_place{&it, i};
    }
    return !it.reservations.empty();
  });
  return out;
}

/// Less urgent rooms make way: they were not counted where the new one opens,
/// and there are no more in all than may be.
void fleet_scheduler::drop_lesser_rooms(worker_view& where, uint32_t priority,
                                        room_look& look) {
  look.made.all -= std::erase_if(where.reservations, [&](const auto& kept) {
    return !binds(kept, priority);
  });
  while (look.made.all >= look.most) {
    const auto room = lesser_room(priority);
    if (!room) return;
    auto& kept = room->where->reservations;
    kept.erase(kept.begin() + static_cast<std::ptrdiff_t>(room->at));
    --look.made.all;
  }
}

void fleet_scheduler::keep_for(const long_wait& wait, uint32_t& have,
                               room_look& look) {
  rooms_made& out = look.made;
  if (have >= wait.tasks) return;
  if (wait.fresh) {
    const job_entry& job = *book_.find(wait.first.job);
    const uint64_t room = room_for_fresh(
        book_.queue_of(job).pool(), wait.priority, plan_of(wait.first.job));
    if (room < wait.cpu) return;
  }
  if (no_opening_until_.contains(wait.first)) {
    out.left_alone += wait.tasks - have;
    return;
  }
  // Estimates are often far off: what waited long takes the soonest room there
  // is, else small tasks take it piece by piece.
  const bool pressing =
      !wait.fresh && clock_.now() - wait.since >= settings_.lasting_first_after;
  const milliseconds limit =
      pressing ? milliseconds::max() : settings_.keep_for;
  const step_to_place step =
      place_of(*book_.find(wait.first.job), wait.first, false);
  for (; have < wait.tasks; ++have) {
    if (look.choices >= look.most_choices) return;
    if (out.all >= look.most && !lesser_room(wait.priority)) return;
    ++look.choices;
    const auto [workers, fresh] = look.ways.try_emplace(wait.priority);
    if (fresh) workers->second = all_ways(wait.priority, look.stopping);
    const auto best = best_opening(step, workers->second, limit, out.looks);
    if (!best) {
      out.without += wait.tasks - have;
      if (no_opening_until_.size() >= detail::most_left_alone) return;
      no_opening_until_[wait.first] =
          clock_.now() + (pressing
                              ? look.round
                              : std::max(look.round, detail::left_alone_for));
      return;
    }
    drop_lesser_rooms(*best->where, wait.priority, look);
    keep_room(*best, step, workers->second, look);
  }
}

fleet_scheduler::rooms_made fleet_scheduler::keep_rooms(
    const std::set<run_key>& stopping) {
  const time_point now = clock_.now();
  const size_t n = workers_.views().size();
  const auto pause = std::chrono::duration_cast<milliseconds>(
      settings_.keep_pause_per_worker * n);
  const milliseconds passed = now - rooms_kept_at_;
  if (passed < pause) return {};
  rooms_kept_at_ = now;
  std::erase_if(no_opening_until_,
                [&](const auto& it) { return it.second <= now; });
  room_look look;
  uses_.clear();
  rooms_made& out = look.made;
  look.stopping = stopping;
  look.most = std::max<size_t>(1, n * settings_.kept_percent / detail::hundred);
  look.most_choices =
      std::max<size_t>(1, settings_.most_worker_looks / std::max<size_t>(1, n));
  out.all = drop_rooms();
  std::map<task_key, uint32_t> have;
  workers_.groups().with_reservations.retain_if([&](const worker_view& it) {
    for (const capacity_reservation& room : it.reservations) ++have[room.step];
    return !it.reservations.empty();
  });
  milliseconds longest{0};
  const std::vector<long_wait> waits = long_waits(settings_.keep_after);
  // Else the first ones, looked at again and again, would leave none to others.
  // Half a round less, as the next round may come sooner than this one did.
  look.round = std::min(passed, detail::left_alone_for) *
                   (waits.size() / look.most_choices) +
               std::min(passed, detail::left_alone_for) / 2;
  for (const long_wait& wait : waits) {
    longest = std::max(longest, now - wait.since);
    keep_for(wait, have[wait.first], look);
  }
  if (out.kept + out.without + out.left_alone == 0) return out;
  log_event(detail::service_name, log_level::info, "rooms-kept")
      .with("new", out.kept)
      .with("all", out.all)
      .with("most", look.most)
      .with("without", out.without)
      .with("left-alone", out.left_alone)
      .with("stops", out.evictions.size())
      .with("looks", out.looks)
      .with("longest-wait-ms", longest.count());
  return out;
}

/// Notes the room, and that what is stopped for it gives way once only.
void fleet_scheduler::keep_room(const opening& it, const step_to_place& step,
                                std::vector<worker_ways>& workers,
                                room_look& look) {
  const fleet::step_spec& spec = step.spec;
  workers_.groups().with_reservations.add(*it.where);
  it.where->reservations.push_back({step.first, spec.cpu_milli(),
                                    spec.memory_mb(), spec.accelerators(),
                                    clock_.now() + settings_.keep_for});
  ++look.made.all;
  ++look.made.kept;
  for (const run_key& run : it.stops) {
    look.made.evictions.push_back({run, step.first});
    look.stopping.insert(run);
  }
  for (worker_ways& other : workers) {
    if (other.where != it.where) continue;
    for (way_out& way : other.ways) {
      const bool stopped = std::find(it.stops.begin(), it.stops.end(),
                                     way.run) != it.stops.end();
      if (!stopped) continue;
      way.stop = false;
      way.cost = 0;
    }
  }
}

}  // namespace kestrelreel

// Room that is kept for lasting tasks that wait, and what gives way to them.
//
// Short tasks take each gap as it opens, so that none grows large enough for a
// larger task. Where one waits too long, a worker is chosen at which room comes
// free soonest and at the least loss; what comes free there is kept for it.
#include <algorithm>
#include <map>
#include <tuple>

#include "fleet/scheduler.h"
#include "kernel/log.h"

namespace kestrelreel {
namespace detail {

constexpr const char* service_name = "scheduler";
constexpr size_t hundred = 100;
constexpr double ms_per_s = 1'000;
constexpr double full_percent = 100;
constexpr double milli = 1'000;
/// What a stop takes at most (the users' `stop_ms`).
constexpr double stop_s = 0.9;
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
/// Rooms newly kept at a time: a choice looks at all workers, 0.1 us each.
constexpr size_t most_new = 24;

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

/// True for a run that may be stopped for a lasting task of that priority.
bool fleet_scheduler::may_yield(const run_key& run, uint32_t priority) const {
  const fleet::step_spec& spec = *book_.find_step(run.task);
  if (spec.long_running() || spec.gang()) return false;
  const job_entry& job = *book_.find(run.task.job);
  return spec.fills() || book_.queue_of(job).priority() > priority;
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
  for (const run_key& run : book_.runs_on(it.id)) {
    const fleet::step_spec* spec = book_.find_step(run.task);
    if (spec == nullptr || spec->long_running()) continue;
    way_out way{run, {}, 0, 0, false};
    way.more.cpu = spec->fills() ? 0 : spec->cpu_milli();
    way.more.memory_mb = spec->memory_mb();
    way.more.accelerators = spec->accelerators();
    way.seconds = detail::remaining_s(it, run, *spec, clock_.now());
    const double cost = detail::stop_s + cost_of_stop(it, run);
    if (stopping.contains(run)) {
      way.seconds = std::min(way.seconds, detail::stop_s);
    } else if (may_yield(run, priority) && cost < way.seconds) {
      way.seconds = detail::stop_s;
      way.cost = cost - detail::stop_s;
      way.stop = true;
    }
    ways.push_back(way);
  }
  std::stable_sort(ways.begin(), ways.end(), [](const auto& a, const auto& b) {
    return a.seconds + a.cost < b.seconds + b.cost;
  });
  return ways;
}

/// What one more task of the step lacks at a worker, beside all that is kept.
fleet_scheduler::gain fleet_scheduler::shortage(
    const worker_view& it, const fleet::step_spec& spec) const {
  gain need{it.load.cpu + spec.cpu_milli(),
            it.load.memory_mb + spec.memory_mb(),
            uint64_t{it.load.accelerators} + spec.accelerators()};
  for (const kept_room& kept : it.kept) {
    need.cpu += kept.cpu;
    need.memory_mb += kept.memory_mb;
    need.accelerators += kept.accelerators;
  }
  need.cpu = detail::excess(need.cpu, it.beat.cpu_milli());
  need.memory_mb = detail::excess(need.memory_mb, it.beat.memory_mb());
  need.accelerators = detail::excess(need.accelerators, it.beat.accelerators());
  return need;
}

/// What it takes to make room at a worker; none where none can be made.
std::optional<fleet_scheduler::opening> fleet_scheduler::open_up(
    worker_view& it, const step_to_place& step,
    const std::vector<way_out>& ways) const {
  if (!may_carry(it, step)) return std::nullopt;
  auto same = static_cast<uint32_t>(
      std::count_if(it.kept.begin(), it.kept.end(),
                    [&](const auto& kept) { return kept.step == step.first; }));
  same += it.load.of_step(step.first);
  const uint32_t spread = step.spec.anti_affinity();
  if (spread > 0 && same >= spread) return std::nullopt;
  gain need = shortage(it, step.spec);
  opening out{&it, 0, 0, {}};
  for (const way_out& way : ways) {
    const bool helps = (need.cpu > 0 && way.more.cpu > 0) ||
                       (need.memory_mb > 0 && way.more.memory_mb > 0) ||
                       (need.accelerators > 0 && way.more.accelerators > 0);
    if (!helps) continue;
    need.cpu = detail::excess(need.cpu, way.more.cpu);
    need.memory_mb = detail::excess(need.memory_mb, way.more.memory_mb);
    need.accelerators =
        detail::excess(need.accelerators, way.more.accelerators);
    out.seconds = std::max(out.seconds, way.seconds);
    out.cost += way.cost;
    if (way.stop) out.stops.push_back(way.run);
  }
  if (need.cpu + need.memory_mb + need.accelerators > 0) return std::nullopt;
  out.cost += out.seconds + detail::crowd_s * same -
              detail::unlike_s * alike(it, step.image);
  return out;
}

/// Room is kept no longer than for its time, its task, and its worker's use.
size_t fleet_scheduler::drop_rooms() {
  std::map<task_key, uint32_t> wanted;
  size_t n = 0;
  for (auto& [id, it] : workers_.views()) {
    if (it.kept.empty()) continue;
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
  }
  return n;
}

/// Tasks of the step that wait and are not proposed anywhere; those that had
/// begun before, or all.
uint32_t fleet_scheduler::unplaced(const task_key& first,
                                   bool fresh_too) const {
  const job_entry* job = book_.find(first.job);
  if (job == nullptr || !job->live()) return 0;
  const auto& tasks = job->times[first.time][first.step].tasks;
  uint32_t n = 0;
  for (uint32_t i = 0; i < tasks.size(); ++i) {
    const task_key key{first.job, first.time, first.step, i};
    if (tasks[i].phase != task_phase::waiting || is_proposed(key)) continue;
    if (fresh_too || is_interrupted(tasks[i])) ++n;
  }
  return n;
}

void fleet_scheduler::release_room(worker_view& where, const task_key& step) {
  const auto drop = [&](worker_view& it) {
    const auto kept =
        std::find_if(it.kept.begin(), it.kept.end(),
                     [&](const kept_room& room) { return room.step == step; });
    if (kept == it.kept.end()) return false;
    it.kept.erase(kept);
    return true;
  };
  if (drop(where)) return;
  for (auto& [id, it] : workers_.views()) {
    if (drop(it)) return;
  }
}

/// Steps with lasting tasks that have waited too long, those that
/// had begun before first, the small ones before others: where there isn't room
/// for all, what served goes on, and more tasks serve.
std::vector<fleet_scheduler::long_wait> fleet_scheduler::long_waits(
    milliseconds least) {
  std::vector<long_wait> out;
  const time_point now = clock_.now();
  for (const auto& [order, number] : book_.live()) {
    const auto plan = plans_.find(number);
    if (plan == plans_.end() || !plan->second.waits_since) continue;
    const time_point since = *plan->second.waits_since;
    if (now - since < least) continue;
    const job_entry& job = *book_.find(number);
    for (uint32_t time = 0; time < job.times.size(); ++time) {
      for (uint32_t step = 0; step < job.times[time].size(); ++step) {
        const auto& spec = job.spec.steps(static_cast<int>(step));
        if (!spec.long_running() || spec.gang()) continue;
        if (!book_.step_is_due(job, time, step)) continue;
        const task_key first{number, time, step, 0};
        const uint32_t begun = unplaced(first, false);
        const uint32_t all = unplaced(first, true);
        if (begun > 0) {
          out.push_back({since, first, begun, spec.cpu_milli(), false});
        }
        // New ones may wait longer: a processor is worth more to short jobs.
        if (all > begun && now - since >= settings_.keep_new_after) {
          out.push_back({since, first, all, spec.cpu_milli(), true});
        }
      }
    }
  }
  std::stable_sort(out.begin(), out.end(), [](const auto& a, const auto& b) {
    return std::tie(a.fresh, a.cpu, a.since) <
           std::tie(b.fresh, b.cpu, b.since);
  });
  return out;
}

std::optional<fleet_scheduler::opening> fleet_scheduler::best_opening(
    const step_to_place& step, std::vector<worker_ways>& workers) const {
  std::optional<opening> best;
  for (worker_ways& it : workers) {
    std::optional<opening> found = open_up(*it.where, step, it.ways);
    if (!found || (best && best->cost <= found->cost)) continue;
    best = std::move(found);
  }
  return best;
}

void fleet_scheduler::keep_for(const long_wait& wait, uint32_t& have,
                               size_t most, const std::set<run_key>& stopping,
                               ways_by_priority& ways, rooms_made& out) {
  const job_entry& job = *book_.find(wait.first.job);
  const fleet::queue_route& queue = book_.queue_of(job);
  const auto [workers, fresh] = ways.try_emplace(queue.priority());
  if (fresh) workers->second = all_ways(queue.priority(), stopping);
  const fleet::step_spec& spec = *book_.find_step(wait.first);
  const step_to_place step{spec, queue.pool(), wait.first,
                           model_.id_of(spec.image()), false};
  for (; have < wait.tasks; ++have) {
    if (out.all >= most || out.kept >= detail::most_new) return;
    const auto best = best_opening(step, workers->second);
    if (!best) {
      out.without += wait.tasks - have;
      return;
    }
    keep_room(*best, step, workers->second, out);
  }
}

fleet_scheduler::rooms_made fleet_scheduler::keep_rooms(
    const std::set<run_key>& stopping) {
  rooms_made out;
  const time_point now = clock_.now();
  const size_t n = workers_.views().size();
  const auto pause = std::chrono::duration_cast<milliseconds>(
      settings_.keep_pause_per_worker * n);
  if (now - rooms_kept_at_ < pause) return out;
  rooms_kept_at_ = now;
  out.all = drop_rooms();
  const size_t most =
      std::max<size_t>(1, n * settings_.kept_percent / detail::hundred);
  std::map<task_key, uint32_t> have;
  for (const auto& [id, it] : workers_.views()) {
    for (const kept_room& room : it.kept) ++have[room.step];
  }
  ways_by_priority ways;
  milliseconds longest{0};
  for (const long_wait& wait : long_waits(settings_.keep_after)) {
    longest = std::max(longest, now - wait.since);
    keep_for(wait, have[wait.first], most, stopping, ways, out);
  }
  if (out.kept + out.without == 0) return out;
  log_event(detail::service_name, log_level::info, "rooms-kept")
      .with("new", out.kept)
      .with("all", out.all)
      .with("most", most)
      .with("without", out.without)
      .with("stops", out.evictions.size())
      .with("longest-wait-ms", longest.count());
  return out;
}

std::vector<fleet_scheduler::worker_ways> fleet_scheduler::all_ways(
    uint32_t priority, const std::set<run_key>& stopping) {
  std::vector<worker_ways> out;
  for (worker_view* it : candidates()) {
    out.push_back({it, ways_out(*it, priority, stopping)});
  }
  return out;
}

/// Notes the room, and that what is stopped for it gives way once only.
void fleet_scheduler::keep_room(const opening& it, const step_to_place& step,
                                std::vector<worker_ways>& workers,
                                rooms_made& out) {
  const fleet::step_spec& spec = step.spec;
  it.where->kept.push_back({step.first, spec.cpu_milli(), spec.memory_mb(),
                            spec.accelerators(),
                            clock_.now() + settings_.keep_for});
  ++out.all;
  ++out.kept;
  for (const run_key& run : it.stops)
    out.evictions.push_back({run, step.first});
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

// Reserves capacity for long-running tasks that are pending for too long.
//
// Short tasks fill each gap as it opens, so that no gap grows large enough for
// a larger task. For a delayed one the scheduler selects the worker on which
// capacity is free soonest at the least loss, and reserves it there.
#include <algorithm>
#include <map>
#include <utility>

#include "fleet/scheduler.h"
#include "kernel/log.h"

namespace kestrelreel {
namespace detail {

constexpr const char* service_name = "scheduler";
constexpr size_t hundred = 100;
/// Costs in seconds: serving images that share a worker lose backfill pace and
/// targets; tasks of one step on one worker are lost together.
constexpr double image_mismatch_s = 0.3;
constexpr double same_step_s = 0.2;
/// Minimum pause before a step without a reservation is tried again, unless
/// it is overdue, and the maximum number of steps in that pause.
constexpr milliseconds min_pause{1'000};
constexpr size_t max_paused_steps = 1'000;

uint64_t excess(uint64_t taken, uint64_t capacity) {
  return taken - std::min(taken, capacity);
}

}  // namespace detail

void resources::add(const resources& it) {
  cpu += it.cpu;
  memory_mb += it.memory_mb;
  accelerators += it.accelerators;
}

void resources::subtract(const resources& it) {
  cpu -= it.cpu;
  memory_mb -= it.memory_mb;
  accelerators -= it.accelerators;
}

bool resources::covers(const resources& need) const {
  return cpu >= need.cpu && memory_mb >= need.memory_mb &&
         accelerators >= need.accelerators;
}

/// Priority of the step's queue; the lowest if the job is unknown.
uint32_t fleet_scheduler::priority_of(const task_key& step) const {
  const job_entry* job = book_.find(step.job);
  return job == nullptr ? UINT32_MAX : book_.queue_of(*job).priority();
}

/// True if tasks of that priority must not use the reservation.
bool fleet_scheduler::blocks(const capacity_reservation& kept,
                             uint32_t priority) const {
  return priority_of(kept.step) <= priority;
}

/// Capacity that a worker lacks for one more task of the step. Reservations of
/// equal or higher priority count as taken.
resources fleet_scheduler::shortage(const worker_view& it,
                                    const pending_step& step) const {
  const fleet::step_spec& spec = step.spec;
  resources need{it.load.cpu + spec.cpu_milli(),
                 it.load.memory_mb + spec.memory_mb(),
                 uint64_t{it.load.accelerators} + spec.accelerators()};
  for (const capacity_reservation& kept : it.reservations) {
    if (!blocks(kept, step.priority)) continue;
    need.add({kept.cpu, kept.memory_mb, kept.accelerators});
  }
  need.cpu = detail::excess(need.cpu, it.beat.cpu_milli());
  need.memory_mb = detail::excess(need.memory_mb, it.beat.memory_mb());
  need.accelerators = detail::excess(need.accelerators, it.beat.accelerators());
  return need;
}

/// How to free capacity for the step on a worker, if possible.
std::optional<reservation_plan> fleet_scheduler::plan_reservation(
    const worker_releases& worker, const resources& need,
    const pending_step& step, milliseconds limit) const {
  worker_view& it = *worker.worker;
  if (!meets_constraints(it, step)) return std::nullopt;
  auto same = static_cast<uint32_t>(
      std::count_if(it.reservations.begin(), it.reservations.end(),
                    [&](const auto& kept) { return kept.step == step.first; }));
  same += it.load.tasks_of_step(step.first);
  const uint32_t spread = step.spec.anti_affinity();
  if (spread > 0 && same >= spread) return std::nullopt;
  const auto chosen = choose_releases(need, worker.options, limit);
  if (!chosen) return std::nullopt;
  reservation_plan out{&it, 0, 0, {}};
  for (const release_option* option : *chosen) {
    out.seconds = std::max(out.seconds, option->seconds);
    out.cost += option->cost;
    if (option->evict) out.evictions.push_back(option->run);
  }
  out.cost += out.seconds + detail::same_step_s * same -
              detail::image_mismatch_s * image_affinity(it, step.image);
  return out;
}

/// Drops reservations that expired or lost their task or worker; returns how
/// many are left.
size_t fleet_scheduler::drop_stale() {
  std::map<task_key, uint32_t> wanted;
  size_t n = 0;
  workers_.groups().with_reservations.retain_if([&](worker_view& it) {
    const bool usable = is_usable(it);
    std::erase_if(it.reservations, [&](const capacity_reservation& kept) {
      if (!usable || kept.until <= clock_.now()) return true;
      const auto [left, inserted] = wanted.try_emplace(kept.step);
      if (inserted) left->second = unplaced(kept.step, true);
      if (left->second == 0) return true;
      --left->second;
      return false;
    });
    n += it.reservations.size();
    return !it.reservations.empty();
  });
  return n;
}

std::optional<reservation_plan> fleet_scheduler::best_plan(
    const pending_step& step, std::vector<worker_releases>& workers,
    milliseconds limit, size_t& examined) const {
  std::optional<reservation_plan> best;
  for (worker_releases& it : workers) {
    const resources need = shortage(*it.worker, step);
    // In a full fleet few workers could fit the task even without short runs.
    if (!it.total.covers(need)) continue;
    ++examined;
    std::optional<reservation_plan> found =
        plan_reservation(it, need, step, limit);
    if (!found || (best && best->cost <= found->cost)) continue;
    best = std::move(found);
  }
  return best;
}

/// The least urgent reservation among those below that priority.
std::optional<reservation_ref> fleet_scheduler::find_less_urgent(
    uint32_t priority) {
  std::optional<reservation_ref> out;
  workers_.groups().with_reservations.retain_if([&](worker_view& it) {
    for (size_t i = 0; i < it.reservations.size(); ++i) {
      const uint32_t own = priority_of(it.reservations[i].step);
      if (own <= priority) continue;
      priority = own;
      out = reservation_ref{&it, i};
    }
    return !it.reservations.empty();
  });
  return out;
}

/// Drops less urgent reservations on the worker, which the new plan ignored,
/// and elsewhere while the limit on reservations is reached.
void fleet_scheduler::drop_less_urgent(worker_view& worker, uint32_t priority,
                                       reservation_round& round) {
  round.result.total -=
      std::erase_if(worker.reservations,
                    [&](const auto& kept) { return !blocks(kept, priority); });
  while (round.result.total >= round.max_reservations) {
    const auto found = find_less_urgent(priority);
    if (!found) return;
    auto& kept = found->worker->reservations;
    kept.erase(kept.begin() + static_cast<std::ptrdiff_t>(found->index));
    --round.result.total;
  }
}

void fleet_scheduler::reserve_for_step(const delayed_step& wait,
                                       uint32_t& reserved,
                                       reservation_round& round) {
  reservation_result& out = round.result;
  if (reserved >= wait.tasks) return;
  if (wait.includes_new) {
    const job_entry& job = *book_.find(wait.first.job);
    const uint64_t available = new_task_capacity(
        book_.queue_of(job).pool(), wait.priority, tracking_of(wait.first.job));
    if (available < wait.cpu) return;
  }
  if (no_reservation_until_.contains(wait.first)) {
    out.skipped += wait.tasks - reserved;
    return;
  }
  // Estimates are often far off. Without a limit an overdue task gets the
  // capacity that is free soonest, before small tasks take it piece by piece.
  const bool overdue =
      !wait.includes_new &&
      clock_.now() - wait.since >= settings_.long_running_first_after;
  const milliseconds limit =
      overdue ? milliseconds::max() : settings_.reservation_ttl;
  const pending_step step =
      pending_step_of(*book_.find(wait.first.job), wait.first, false);
  for (; reserved < wait.tasks; ++reserved) {
    if (round.scans >= round.max_scans) return;
    if (out.total >= round.max_reservations && !find_less_urgent(wait.priority))
      return;
    ++round.scans;
    const auto [workers, inserted] = round.releases.try_emplace(wait.priority);
    if (inserted) workers->second = all_releases(wait.priority, round.stopping);
    const auto best =
        best_plan(step, workers->second, limit, out.workers_examined);
    if (!best) {
      out.unmet += wait.tasks - reserved;
      if (no_reservation_until_.size() >= detail::max_paused_steps) return;
      no_reservation_until_[wait.first] =
          clock_.now() +
          (overdue ? round.cycle : std::max(round.cycle, detail::min_pause));
      return;
    }
    drop_less_urgent(*best->worker, wait.priority, round);
    add_reservation(*best, step, workers->second, round);
  }
}

reservation_result fleet_scheduler::reserve_capacity(
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
  reservation_round round;
  pool_uses_.clear();
  reservation_result& out = round.result;
  round.stopping = stopping;
  round.max_reservations =
      std::max<size_t>(1, n * settings_.max_reserved_percent / detail::hundred);
  round.max_scans = std::max<size_t>(
      1, settings_.max_reservation_evaluations / std::max<size_t>(1, n));
  out.total = drop_stale();
  std::map<task_key, uint32_t> reserved;
  workers_.groups().with_reservations.retain_if([&](const worker_view& it) {
    for (const capacity_reservation& entry : it.reservations)
      ++reserved[entry.step];
    return !it.reservations.empty();
  });
  milliseconds longest{0};
  const std::vector<delayed_step> late = delayed_steps(settings_.reserve_after);
  // Steps without a plan pause for a cycle; else the first ones would use up
  // every round. The last round counts half, as it may begin earlier.
  round.cycle =
      std::min(passed, detail::min_pause) * (late.size() / round.max_scans) +
      std::min(passed, detail::min_pause) / 2;
  for (const delayed_step& wait : late) {
    longest = std::max(longest, now - wait.since);
    reserve_for_step(wait, reserved[wait.first], round);
  }
  if (out.added + out.unmet + out.skipped == 0) return out;
  log_event(detail::service_name, log_level::info, "rooms-kept")
      .with("new", out.added)
      .with("all", out.total)
      .with("most", round.max_reservations)
      .with("without", out.unmet)
      .with("left-alone", out.skipped)
      .with("stops", out.evictions.size())
      .with("looks", out.workers_examined)
      .with("longest-wait-ms", longest.count());
  return out;
}

/// Records a reservation and its evictions, so that no run is evicted twice.
void fleet_scheduler::add_reservation(const reservation_plan& it,
                                      const pending_step& step,
                                      std::vector<worker_releases>& workers,
                                      reservation_round& round) {
  const fleet::step_spec& spec = step.spec;
  workers_.groups().with_reservations.add(*it.worker);
  it.worker->reservations.push_back({step.first, spec.cpu_milli(),
                                     spec.memory_mb(), spec.accelerators(),
                                     clock_.now() + settings_.reservation_ttl});
  ++round.result.total;
  ++round.result.added;
  for (const run_key& run : it.evictions) {
    round.result.evictions.push_back({run, step.first});
    round.stopping.insert(run);
  }
  for (worker_releases& other : workers) {
    if (other.worker != it.worker) continue;
    for (release_option& option : other.options) {
      const bool stopped = std::find(it.evictions.begin(), it.evictions.end(),
                                     option.run) != it.evictions.end();
      if (!stopped) continue;
      option.evict = false;
      option.cost = 0;
    }
  }
}

}  // namespace kestrelreel

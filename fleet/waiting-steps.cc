// Which waiting steps are tried now, and what is left to those that wait: steps
// that found no room, workers where runs ended, room for short jobs.
#include <algorithm>

#include "fleet/scheduler.h"

namespace kestrelreel {
namespace detail {

constexpr unsigned percent = 100;

}  // namespace detail

fleet_scheduler::pool_use& fleet_scheduler::use_of(const std::string& pool) {
  const auto [it, fresh] = uses_.try_emplace(pool);
  if (!fresh) return it->second;
  for (const worker_view* worker : candidates()) {
    if (worker->beat.pool() != pool) continue;
    ++it->second.workers;
    it->second.cpu += worker->beat.cpu_milli();
    it->second.lasting += worker->load.serving_cpu;
  }
  return it->second;
}

/// What lasting tasks that have not begun before may take of the pool.
uint64_t fleet_scheduler::room_for_fresh(const std::string& pool,
                                         uint32_t priority,
                                         const job_plan& plan) {
  const time_point now = clock_.now();
  const pool_use& use = use_of(pool);
  const auto share = [&](unsigned n) { return use.cpu * n / detail::percent; };
  const uint64_t asked = short_demand_.cpu_milli(priority, now) *
                         settings_.short_room_percent / detail::percent;
  uint64_t kept = std::min(asked, share(settings_.most_short_percent));
  const bool unknown =
      plan.waits_since && now - *plan.waits_since < settings_.short_unknown;
  if (unknown) kept = std::max(kept, share(settings_.least_short_percent));
  // Whole workers: the rest of one is no room for a large task.
  const uint64_t worker =
      std::max<uint64_t>(1, use.cpu / std::max<uint64_t>(1, use.workers));
  kept -= kept % worker;
  return use.cpu - std::min(use.cpu, use.lasting + kept);
}

/// A step that found no room is left alone for a while.
bool fleet_scheduler::may_try(const task_key& step) const {
  const auto it = try_again_.find(step);
  return it == try_again_.end() || clock_.now() >= it->second;
}

std::vector<worker_view*> fleet_scheduler::take_freed() {
  std::vector<worker_view*> out;
  freed_most_ = {};
  workers_.groups().freed.retain_if([&](worker_view& it) {
    if (!std::exchange(it.freed, false) || !is_usable(it)) return false;
    if (only_open_ && !is_open(it)) return false;
    if (std::exchange(it.load_is_stale, false)) it.load = load_of(it);
    const auto rest = [](uint64_t all, uint64_t taken) {
      return all - std::min(all, taken);
    };
    freed_most_.cpu =
        std::max(freed_most_.cpu, rest(it.beat.cpu_milli(), it.load.cpu));
    freed_most_.memory_mb = std::max(
        freed_most_.memory_mb, rest(it.beat.memory_mb(), it.load.memory_mb));
    freed_most_.accelerators =
        std::max(freed_most_.accelerators,
                 rest(it.beat.accelerators(), it.load.accelerators));
    out.push_back(&it);
    return false;
  });
  return out;
}

/// False where none of the workers could hold a task of the step.
bool fleet_scheduler::may_fit_where_freed(const fleet::step_spec& spec) const {
  if (freed_.empty() || spec.fills() || spec.gang()) return false;
  return freed_most_.covers(
      {spec.cpu_milli(), spec.memory_mb(), spec.accelerators()});
}

/// A step that found no room is looked at again at once where runs have ended
/// since: else the worker's answer goes out without a start, and the room lies
/// idle until its next heartbeat. Fill tasks need no room that others leave.
bool fleet_scheduler::fits_where_freed(const job_entry& job,
                                       const task_key& first) {
  const fleet::step_spec& spec = job.spec.steps(static_cast<int>(first.step));
  if (!may_fit_where_freed(spec)) return false;
  const step_to_place step = place_of(job, first, false);
  count_looks(freed_.size());
  return std::any_of(freed_.begin(), freed_.end(), [&](const auto* it) {
    return fits(*it, step) && may_carry(*it, step);
  });
}

/// Lasting tasks are owed their place: only short steps wait for their turn.
milliseconds fleet_scheduler::retry_pause(size_t workers, bool lasts) const {
  constexpr uint64_t ms_per_s = 1'000;
  const milliseconds alone = std::chrono::duration_cast<milliseconds>(
      settings_.retry_per_worker * workers);
  if (lasts) return alone;
  const milliseconds in_turn(static_cast<int64_t>(
      try_again_.size() * workers * ms_per_s / settings_.retry_looks_per_s));
  return std::max(alone, in_turn) * stretch_percent_ / detail::percent;
}

void fleet_scheduler::count_looks(uint64_t n) {
  looks_ += n;
  looks_left_ -= std::min(looks_left_, n);
}

}  // namespace kestrelreel

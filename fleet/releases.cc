// Finds out how soon a worker's runs can release their capacity, by ending or
// by eviction, and at what loss.
#include <algorithm>

#include "fleet/scheduler.h"

namespace kestrelreel {
namespace detail {

constexpr double ms_per_s = 1'000;
constexpr double full_percent = 100;
constexpr double milli = 1'000;
/// Assumed run time, in seconds, of a task without an estimate.
constexpr double default_run_s = 10;
/// Below this progress, in percent, a run's pace is too uncertain to use.
constexpr double min_progress_percent = 5;
/// Work lost, in seconds, by evicting a run that saves its progress: half a
/// second since its last checkpoint, and a quarter to restore it.
constexpr double checkpoint_loss_s = 0.75;
/// Worth of a lost core-second in seconds of a long-running task: users value
/// the core-second at 0.018 and the second at 0.035.
constexpr double seconds_per_core_second = 0.5;

/// Remaining run time by the estimate and by the pace so far.
double remaining_s(const worker_view& it, const run_key& run,
                   const fleet::step_spec& spec, time_point now) {
  const double whole = spec.estimate_ms() > 0
                           ? static_cast<double>(spec.estimate_ms()) / ms_per_s
                           : default_run_s;
  const auto row = it.rows.find(run);
  const auto sent = it.starts_sent_at.find(run);
  if (row == it.rows.end() || sent == it.starts_sent_at.end()) return whole;
  const double percent = row->second.percent();
  const double left = std::max(0.0, full_percent - percent);
  const double by_estimate = whole * left / full_percent;
  if (percent < min_progress_percent) return by_estimate;
  const auto passed = static_cast<double>((now - sent->second).count());
  return std::max(by_estimate, passed / ms_per_s * left / percent);
}

}  // namespace detail

/// True if a long-running task of that priority may evict the run: backfill
/// runs yield to equal or higher priority, others only to higher.
bool fleet_scheduler::may_evict(const run_key& run, uint32_t priority) const {
  const fleet::step_spec& spec = *book_.find_step(run.task);
  if (spec.long_running() || spec.gang()) return false;
  const uint32_t own = priority_of(run.task);
  return spec.fills() ? own >= priority : own > priority;
}

/// Work lost by evicting the run, in seconds of a long-running task.
double fleet_scheduler::eviction_cost(const worker_view& it,
                                      const run_key& run) const {
  const fleet::step_spec& spec = *book_.find_step(run.task);
  const auto row = it.rows.find(run);
  const double percent = row == it.rows.end() ? 0 : row->second.percent();
  const double done = percent * static_cast<double>(spec.estimate_ms()) /
                      detail::full_percent / detail::ms_per_s;
  const double lost = spec.saves_progress() ? detail::checkpoint_loss_s : done;
  return lost * static_cast<double>(spec.cpu_milli()) / detail::milli *
         detail::seconds_per_core_second;
}

/// Release options of the worker's runs, the cheapest first. A run is evicted
/// only if that costs less than the wait for its end.
std::vector<release_option> fleet_scheduler::release_options(
    const worker_view& it, uint32_t priority,
    const std::set<run_key>& stopping) const {
  std::vector<release_option> options;
  const double stop_s =
      static_cast<double>(settings_.worker_stop.count()) / detail::ms_per_s;
  for (const run_key& run : book_.runs_on(it.id)) {
    const fleet::step_spec* spec = book_.find_step(run.task);
    if (spec == nullptr || spec->long_running()) continue;
    release_option option{run, {}, 0, 0, false};
    option.frees.cpu = spec->fills() ? 0 : spec->cpu_milli();
    option.frees.memory_mb = spec->memory_mb();
    option.frees.accelerators = spec->accelerators();
    option.seconds = detail::remaining_s(it, run, *spec, clock_.now());
    const double cost = stop_s + eviction_cost(it, run);
    if (stopping.contains(run)) {
      option.seconds = std::min(option.seconds, stop_s);
    } else if (may_evict(run, priority) && cost < option.seconds) {
      option.seconds = stop_s;
      option.cost = cost - stop_s;
      option.evict = true;
    }
    options.push_back(option);
  }
  std::stable_sort(options.begin(), options.end(),
                   [](const auto& a, const auto& b) {
                     return a.seconds + a.cost < b.seconds + b.cost;
                   });
  return options;
}

/// Release options of all usable workers.
std::vector<worker_releases> fleet_scheduler::all_releases(
    uint32_t priority, const std::set<run_key>& stopping) {
  std::vector<worker_releases> out;
  for (worker_view* it : candidates()) {
    worker_releases& worker = out.emplace_back(
        worker_releases{it, release_options(*it, priority, stopping), {}});
    for (const release_option& option : worker.options)
      worker.total.add(option.frees);
  }
  return out;
}

/// The first options that free the needed capacity within the limit, or none.
/// Options that the others make redundant are removed, since each needless
/// eviction loses work.
std::optional<chosen_releases> fleet_scheduler::choose_releases(
    const resources& need, const std::vector<release_option>& options,
    milliseconds limit) {
  const double longest = static_cast<double>(limit.count()) / detail::ms_per_s;
  resources all;
  chosen_releases out;
  for (const release_option& option : options) {
    const resources& more = option.frees;
    const bool helps =
        (all.cpu < need.cpu && more.cpu > 0) ||
        (all.memory_mb < need.memory_mb && more.memory_mb > 0) ||
        (all.accelerators < need.accelerators && more.accelerators > 0);
    if (!helps || option.seconds > longest) continue;
    all.add(more);
    out.push_back(&option);
  }
  if (!all.covers(need)) return std::nullopt;
  for (size_t i = out.size(); i-- > 0;) {
    resources rest = all;
    rest.subtract(out[i]->frees);
    if (!rest.covers(need)) continue;
    all = rest;
    out.erase(out.begin() + static_cast<std::ptrdiff_t>(i));
  }
  return out;
}

}  // namespace kestrelreel

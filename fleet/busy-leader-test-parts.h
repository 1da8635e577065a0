// Types and constants of the simulation of an overloaded leader.
#pragma once

#include <algorithm>
#include <cstdint>
#include <ctime>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fleet/slow-test-parts.h"

namespace kestrelreel::busy {

using slow::answer_limit;
using slow::end_tracker;
using slow::simulated_worker;

/// Length of one step of the simulation.
constexpr milliseconds step_time{5};
constexpr double us_per_step = 5'000;
constexpr milliseconds tick_interval{100};
constexpr milliseconds forward_interval{10};
/// Time from a proposal to its commit: two disk syncs and one network trip.
constexpr milliseconds commit_delay{15};
constexpr milliseconds short_task_time{640};
/// Delay from the end of a run to the worker's next heartbeat.
constexpr milliseconds call_delay_after_end{50};
/// Users tolerate a long-running task being down for 6 s, and for another 3 s
/// while there is free capacity for it.
constexpr milliseconds max_downtime{9'000};
/// Longest time from the commit of a start to its arrival at the worker: one
/// heartbeat timeout, plus a quarter of it for the network. Capacity that is
/// reserved for a later order is wasted.
constexpr milliseconds max_order_lag{1'250};

/// Cost of each kind of work of the leader, in microseconds.
struct step_costs {
  double read = 20;
  double answer = 20;
  double placement_check = 1;
  double capacity_check = 6;
  double entry = 100;
  double loop_turn = 100;
};

struct scenario {
  const char* name;
  int workers;
  step_costs cost;
  // Rate of submitted jobs; each has `tasks_per_job` short tasks.
  double jobs_per_s = 8;
  uint32_t tasks_per_job = 8;
  // The leader's share of a core: work costs its measured processor time
  // divided by the share. 0: work costs what `cost` says.
  double processor_share = 0;
  int intake_boxes = 4;
  // Window over which the workers' first heartbeats are spread.
  milliseconds first_call_spread{200};
  // After an answer, a worker returns to the first box that it called.
  bool returns_to_first_box = false;
  // Time from a proposal to its commit.
  milliseconds commit_time = commit_delay;
};

/// Returns the processor time of this thread so far, in microseconds.
inline double thread_cpu_us() {
  timespec it{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &it);
  return static_cast<double>(it.tv_sec) * 1e6 +
         static_cast<double>(it.tv_nsec) / 1e3;
}

/// Measurements of one simulation.
struct outcome {
  // The first invariant that was violated, or empty.
  std::string violation;
  // Runs whose lease expired, and runs that succeeded.
  int lapsed = 0;
  int done = 0;
  milliseconds longest_downtime{0};
  milliseconds longest_order_lag{0};
  // For interrupted long-running tasks: the longest time from the first
  // committed start until the task ran, the most starts that one task needed,
  // and the number of all starts beyond the first of each task.
  milliseconds longest_placed_wait{0};
  int max_placements = 0;
  int wasted_placements = 0;
  // Longest time between two heartbeats of a live worker read by the leader.
  milliseconds longest_read_gap{0};
  // Longest time from the first heartbeat that lists an end until the end is
  // recorded, for workers that live.
  milliseconds longest_end_lag{0};
  // Starts of tasks that had succeeded before.
  int restarts_after_success = 0;
  // Measured processor time of the leader, in microseconds, and the number of
  // its answers that carried orders.
  double leader_us = 0;
  uint64_t answers = 0;
};

/// Measures how long interrupted long-running tasks are down, and how long
/// start orders take to reach their workers.
class task_waits {
 public:
  /// A run of a long-running task is over.
  void interrupted(const task_key& task, time_point now) {
    interrupted_.try_emplace(task, wait{now, {}, 0});
  }
  /// The start of the run is committed.
  void start_committed(const run_key& run, time_point now) {
    committed_at_[run] = now;
    const auto it = interrupted_.find(run.task);
    if (it == interrupted_.end()) return;
    if (it->second.placements++ == 0) it->second.placed = now;
  }
  /// The worker has started the run.
  void started(const run_key& run, time_point now, outcome& out) {
    const auto committed = committed_at_.find(run);
    if (committed != committed_at_.end()) {
      out.longest_order_lag =
          std::max(out.longest_order_lag, now - committed->second);
    }
    const auto it = interrupted_.find(run.task);
    if (it == interrupted_.end()) return;
    record_wait(it->second, now, out);
    out.wasted_placements += std::max(0, it->second.placements - 1);
    interrupted_.erase(it);
  }
  /// Records the tasks that are still down at the end.
  void finish(time_point now, outcome& out) const {
    for (const auto& [task, it] : interrupted_) record_wait(it, now, out);
  }

 private:
  struct wait {
    time_point since;
    time_point placed;
    int placements = 0;
  };
  static void record_wait(const wait& it, time_point now, outcome& out) {
    out.longest_downtime = std::max(out.longest_downtime, now - it.since);
    out.max_placements = std::max(out.max_placements, it.placements);
    if (it.placements == 0) return;
    out.longest_placed_wait =
        std::max(out.longest_placed_wait, now - it.placed);
  }

  std::map<task_key, wait> interrupted_;
  std::map<run_key, time_point> committed_at_;
};

/// Measures how long ends take to be recorded.
class end_waits {
 public:
  /// Only the first time that an end is listed counts.
  void listed(const std::string& worker, const run_key& run, time_point now) {
    if (listed_.insert({worker, run}).second)
      unrecorded_[worker].emplace(run, now);
  }
  void recorded(const fleet::worker_report& report, time_point now,
                outcome& out) {
    auto& runs = unrecorded_[worker_name_of(worker_id(report.worker()))];
    for (const fleet::run_end& it : report.ends()) {
      const auto found = runs.find({to_key(it.task()), run_number(it.run())});
      if (found == runs.end()) continue;
      out.longest_end_lag = std::max(out.longest_end_lag, now - found->second);
      runs.erase(found);
    }
  }
  /// The worker is lost with the ends that it has not reported.
  void lost(const std::string& worker) { unrecorded_.erase(worker); }
  void finish(time_point now, outcome& out) const {
    for (const auto& [worker, runs] : unrecorded_) {
      for (const auto& [run, at] : runs)
        out.longest_end_lag = std::max(out.longest_end_lag, now - at);
    }
  }

 private:
  std::set<std::pair<std::string, run_key>> listed_;
  std::map<std::string, std::map<run_key, time_point>> unrecorded_;
};

/// A simulated worker as the leader sees it.
struct busy_worker {
  simulated_worker state;
  int box = 0;
  bool lost = false;
  bool lapsed = false;
  // Sequence number of the last heartbeat that the leader read, and its time.
  uint64_t read = 0;
  time_point read_at{};
};
/// Short jobs have this number and above.
constexpr uint64_t first_short_job = 10'000;

/// The job whose tasks keep every worker busy; long-running jobs have lower
/// numbers.
constexpr uint64_t endless_job = 9'999;

inline bool is_endless(const task_key& task) {
  return task.job.value() < first_short_job;
}
inline bool is_long_running(const task_key& task) {
  return task.job.value() < endless_job;
}

/// Returns the first `n` live workers that run long-running tasks.
inline std::vector<busy_worker*> workers_with_long_running(
    std::deque<busy_worker>& workers, int n) {
  std::vector<busy_worker*> out;
  for (busy_worker& worker : workers) {
    if (out.size() == static_cast<size_t>(n)) break;
    const bool has_long_running = std::any_of(
        worker.state.runs.begin(), worker.state.runs.end(),
        [](const auto& run) { return is_long_running(run.first.task); });
    if (!worker.lost && has_long_running) out.push_back(&worker);
  }
  return out;
}

/// How the long-running tasks of a worker are interrupted: the worker is lost,
/// leaves, or its runs fail.
enum class interruption { lose, leave, fail };

inline fleet::fleet_request make_leave(const simulated_worker& it) {
  fleet::fleet_request request;
  request.set_worker_leaves(it.name);
  request.set_leaver_born(it.born_ms);
  return request;
}

inline controller_settings make_settings() {
  controller_settings settings = test_world::make_settings();
  settings.leases.duration = max_lease_duration;
  settings.max_direct_workers = 0;
  return settings;
}

/// Heartbeats in transit from an intake box to the leader.
struct sent_batch {
  time_point at;
  fleet::beat_batch batch;
};
/// A box that receives heartbeats and forwards them to the leader.
struct intake_box {
  intake_box(clock_source& clock, metrics_registry& metrics)
      : intake({}, clock, metrics) {}
  heartbeat_intake intake;
  std::deque<sent_batch> sent;
  std::deque<slow::forwarded_answer> replies;
  // Delay of the leader's answers to this box, and of the box's calls to the
  // leader.
  milliseconds answer_delay{0};
  milliseconds call_delay{0};
  // Nothing passes between the box and the leader.
  bool cut_off = false;
};
/// A log entry that is committed at `due_at`.
struct entry {
  time_point due_at;
  fleet::fleet_command command;
};
/// An answer to a worker's heartbeat.
struct reply {
  size_t worker;
  uint64_t sequence;
  fleet::fleet_response response;
};

}  // namespace kestrelreel::busy

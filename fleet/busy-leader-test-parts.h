// What the world of a leader whose steps cost time is made of.
#pragma once

#include <algorithm>
#include <cstdint>
#include <ctime>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "fleet/slow-test-parts.h"

namespace kestrelreel::busy {

using slow::answer_limit;
using slow::end_tracker;
using slow::simulated_worker;

constexpr milliseconds step_time{5};
constexpr double us_per_step = 5'000;
constexpr milliseconds tick_interval{100};
constexpr milliseconds forward_interval{10};
/// Two syncs and a way.
constexpr milliseconds commit_delay{15};
constexpr milliseconds short_task_time{640};
/// A worker calls again so long after an end.
constexpr milliseconds call_delay_after_end{50};
/// The users bear a lasting task away for 6 s, and for 3 s more while there is
/// room for it.
constexpr milliseconds max_downtime{9'000};
/// An order that its worker gets later than this after the log kept it holds
/// room for nothing: a call's time, and a quarter for its way.
constexpr milliseconds max_order_lag{1'250};

/// What a step of the leader takes, in microseconds.
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
  // Jobs a second, each of so many short tasks.
  double jobs_per_s = 8;
  uint32_t tasks_per_job = 8;
  // The leader's share of a core: its steps take what they take here, by that
  // share, instead of `cost`. 0: `cost` counts.
  double processor_share = 0;
  int intake_boxes = 4;
  // The workers' first calls are spread over so long.
  milliseconds first_call_spread{200};
  // An answer sends each worker back to the first box that it called.
  bool returns_to_first_box = false;
};

/// Processor time of this thread so far, in microseconds.
inline double thread_cpu_us() {
  timespec it{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &it);
  return static_cast<double>(it.tv_sec) * 1e6 +
         static_cast<double>(it.tv_nsec) / 1e3;
}

/// What a run came to.
struct outcome {
  std::string violation;
  int lapsed = 0;
  int done = 0;
  milliseconds longest_downtime{0};
  milliseconds longest_order_lag{0};
  // Of interrupted lasting tasks: from when the log first kept a start of the
  // task until it ran, how many starts it took at most, and how many more than
  // one in all.
  milliseconds longest_placed_wait{0};
  int max_placements = 0;
  int wasted_placements = 0;
  // Of a living worker between two calls that the leader read.
  milliseconds longest_read_gap{0};
  // Starts of tasks that had ended well.
  int restarts_after_success = 0;
  // Processor time that the leader took here, in microseconds, and the answers
  // with orders that it gave.
  double leader_us = 0;
  uint64_t answers = 0;
};

/// How long lasting tasks that were interrupted wait, and orders of any.
class task_waits {
 public:
  /// A lasting task's run is over.
  void interrupted(const task_key& task, time_point now) {
    interrupted_.try_emplace(task, wait{now, {}, 0});
  }
  /// The log keeps the start of the run.
  void start_committed(const run_key& run, time_point now) {
    committed_at_[run] = now;
    const auto it = interrupted_.find(run.task);
    if (it == interrupted_.end()) return;
    if (it->second.placements++ == 0) it->second.placed = now;
  }
  /// Its worker runs it.
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
  /// Tells of those that still wait.
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

struct busy_worker {
  simulated_worker state;
  int box = 0;
  bool lost = false;
  bool lapsed = false;
  // The last call that the leader read, and when.
  uint64_t read = 0;
  time_point read_at{};
};
constexpr uint64_t first_short_job = 10'000;

constexpr uint64_t endless_job = 9'999;

inline bool is_endless(const task_key& task) {
  return task.job.value() < first_short_job;
}
inline bool is_long_running(const task_key& task) {
  return task.job.value() < endless_job;
}

/// The first `n` living workers that run lasting tasks.
inline std::vector<busy_worker*> workers_with_long_running(
    std::deque<busy_worker>& all, int n) {
  std::vector<busy_worker*> out;
  for (busy_worker& c : all) {
    if (out.size() == static_cast<size_t>(n)) break;
    const bool has_long_running = std::any_of(
        c.state.runs.begin(), c.state.runs.end(),
        [](const auto& run) { return is_long_running(run.first.task); });
    if (!c.lost && has_long_running) out.push_back(&c);
  }
  return out;
}

/// How a worker's lasting tasks come to be interrupted.
enum class interruption { lose, leave, fail };

inline fleet::fleet_request make_leave(const simulated_worker& it) {
  fleet::fleet_request request;
  request.set_worker_leaves(it.name);
  request.set_leaver_born(it.born_ms);
  return request;
}

inline controller_settings make_settings() {
  controller_settings settings = test_world::make_settings();
  settings.leases.hold = longest_hold;
  settings.direct_workers = 0;
  return settings;
}

struct sent_batch {
  time_point at;
  fleet::beat_batch batch;
};
struct intake_box {
  intake_box(clock_source& clock, metrics_registry& metrics)
      : intake({}, clock, metrics) {}
  beat_intake intake;
  std::deque<sent_batch> sent;
  std::deque<slow::forwarded_answer> replies;
  // How long the leader's answers to this box, and its calls, are on their way.
  milliseconds answer_delay{0};
  milliseconds call_delay{0};
};
struct entry {
  time_point commits_at;
  fleet::fleet_command command;
};
struct reply {
  size_t worker;
  uint64_t sequence;
  fleet::fleet_response response;
};

}  // namespace kestrelreel::busy

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
using slow::end_ledger;
using slow::machine;

constexpr milliseconds step_time{5};
constexpr double us_per_step = 5'000;
constexpr milliseconds tick_interval{100};
constexpr milliseconds pass_on_interval{10};
/// Two syncs and a way.
constexpr milliseconds commit_time{15};
constexpr milliseconds short_work{640};
/// A worker calls again so long after an end.
constexpr milliseconds after_end{50};
/// The users bear a lasting task away for 6 s, and for 3 s more while there is
/// room for it.
constexpr milliseconds most_away{9'000};
/// An order that its worker gets later than this after the log kept it holds
/// room for nothing: a call's time, and a quarter for its way.
constexpr milliseconds most_order_lag{1'250};

/// What a step of the leader takes, in microseconds.
struct costs {
  double read = 20;
  double answer = 20;
  double look = 1;
  double room_look = 6;
  double entry = 100;
  double turn = 100;
};

struct setting {
  const char* name;
  int workers;
  costs cost;
  // Jobs a second, each of so many short tasks.
  double jobs_per_s = 8;
  uint32_t width = 8;
  // The leader's share of a core: its steps take what they take here, by that
  // share, instead of `cost`. 0: `cost` counts.
  double processor_share = 0;
  int intakes = 4;
  // The workers' first calls are spread over so long.
  milliseconds first_calls{200};
  // An answer sends each worker back to the first box that it called.
  bool sends_home = false;
};

/// Processor time of this thread so far, in microseconds.
inline double thread_us() {
  timespec it{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &it);
  return static_cast<double>(it.tv_sec) * 1e6 +
         static_cast<double>(it.tv_nsec) / 1e3;
}

/// What a run came to.
struct outcome {
  std::string wrong;
  int lapsed = 0;
  int done = 0;
  milliseconds longest_away{0};
  milliseconds longest_order_lag{0};
  // Of interrupted lasting tasks: from when the log first kept a start of the
  // task until it ran, how many starts it took at most, and how many more than
  // one in all.
  milliseconds longest_placed{0};
  int most_placings = 0;
  int placed_in_vain = 0;
  // Of a living worker between two calls that the leader read.
  milliseconds longest_unread{0};
  // Starts of tasks that had ended well.
  int started_again = 0;
  // Processor time that the leader took here, in microseconds, and the answers
  // with orders that it gave.
  double leader_us = 0;
  uint64_t answers = 0;
};

/// How long lasting tasks that were interrupted wait, and orders of any.
class task_waits {
 public:
  /// A lasting task's run is over.
  void gone(const task_key& task, time_point now) {
    away_.try_emplace(task, wait{now, {}, 0});
  }
  /// The log keeps the start of the run.
  void kept(const run_key& run, time_point now) {
    kept_at_[run] = now;
    const auto it = away_.find(run.task);
    if (it == away_.end()) return;
    if (it->second.placings++ == 0) it->second.placed = now;
  }
  /// Its worker runs it.
  void begun(const run_key& run, time_point now, outcome& out) {
    const auto kept = kept_at_.find(run);
    if (kept != kept_at_.end()) {
      out.longest_order_lag =
          std::max(out.longest_order_lag, now - kept->second);
    }
    const auto it = away_.find(run.task);
    if (it == away_.end()) return;
    tell(it->second, now, out);
    out.placed_in_vain += std::max(0, it->second.placings - 1);
    away_.erase(it);
  }
  /// Tells of those that still wait.
  void close(time_point now, outcome& out) const {
    for (const auto& [task, it] : away_) tell(it, now, out);
  }

 private:
  struct wait {
    time_point since;
    time_point placed;
    int placings = 0;
  };
  static void tell(const wait& it, time_point now, outcome& out) {
    out.longest_away = std::max(out.longest_away, now - it.since);
    out.most_placings = std::max(out.most_placings, it.placings);
    if (it.placings == 0) return;
    out.longest_placed = std::max(out.longest_placed, now - it.placed);
  }

  std::map<task_key, wait> away_;
  std::map<run_key, time_point> kept_at_;
};

struct caller {
  machine it;
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
inline bool is_lasting(const task_key& task) {
  return task.job.value() < endless_job;
}

/// The first `n` living workers that run lasting tasks.
inline std::vector<caller*> serving(std::deque<caller>& all, int n) {
  std::vector<caller*> out;
  for (caller& c : all) {
    if (out.size() == static_cast<size_t>(n)) break;
    const bool serves =
        std::any_of(c.it.runs.begin(), c.it.runs.end(),
                    [](const auto& run) { return is_lasting(run.first.task); });
    if (!c.lost && serves) out.push_back(&c);
  }
  return out;
}

/// How a worker's lasting tasks come to be interrupted.
enum class interruption { lose, leave, fail };

inline fleet::fleet_request make_leave(const machine& it) {
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

struct sent_batch {
  time_point at;
  fleet::beat_batch batch;
};
struct intake_box {
  intake_box(clock_source& clock, metrics_registry& metrics)
      : intake({}, clock, metrics) {}
  heartbeat_intake intake;
  std::deque<sent_batch> sent;
  std::deque<slow::passed_answer> replies;
  // How long the leader's answers to this box, and its calls, are on their way.
  milliseconds answers_late{0};
  milliseconds calls_late{0};
};
struct entry {
  time_point lasts;
  fleet::fleet_command command;
};
struct reply {
  size_t caller;
  uint64_t sequence;
  fleet::fleet_response response;
};

}  // namespace kestrelreel::busy

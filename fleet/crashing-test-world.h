// Shared by the tests of tasks that crash their workers: workers that crash
// when such a task starts and restart later, while other tasks run too.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/text.h"
#include "fleet/cancelled-test-world.h"

namespace kestrelreel::crashing {

using cancelled::control_boxes;
using cancelled::heartbeat_interval;
using cancelled::heartbeat_route;

/// The job whose first task crashes its workers.
constexpr uint64_t crashing_job = 66;
/// A job of harmless long-running tasks.
constexpr uint64_t long_running_job = 5;
/// Starts of a task that users tolerate after its third crash.
constexpr int max_late_starts = 2;
/// Longest time until a crashing job fails.
constexpr milliseconds run_time_limit{90'000};
/// Time after which no further crash can follow.
constexpr milliseconds quiet_period{20'000};

inline bool is_crashing(const task_key& it) {
  return it.job.value() == crashing_job && it.index == 0;
}

/// Behaviour of the workers, and faults around them.
struct crash_settings {
  size_t workers = 8;
  heartbeat_route route = heartbeat_route::direct;
  /// Time from a crash until the worker restarts as a new incarnation.
  milliseconds restart_delay{4'000};
  /// Whether a restarted worker has the same id.
  bool keeps_id = false;
  /// Time from the start of a crashing task until its worker crashes.
  milliseconds crash_delay{10};
  /// Time from each crash until another box becomes leader; 0: never.
  milliseconds leader_change_delay{0};
  /// Time from a start of a crashing task until the leader that issued the
  /// order fails, so that it may not see the crash. Applies to the first
  /// `failing_issuers` starts.
  milliseconds issuer_failure_delay{0};
  int failing_issuers = 0;
  /// The leader's state is saved and loaded after each crash.
  bool reloads = false;
  /// Time from the start of a run until it is done.
  milliseconds work_time{600};
};

/// Simulates workers that carry out their orders. A worker that starts a
/// crashing task crashes.
class crash_world {
 public:
  explicit crash_world(const crash_settings& settings) : settings_(settings) {
    workers_.resize(settings.workers);
    for (size_t i = 0; i < workers_.size(); ++i) start_incarnation(i);
  }

  control_boxes all;
  /// Returns whether the task crashes its worker.
  std::function<bool(const task_key&)> crashes = [](const task_key&) {
    return false;
  };
  /// How often each task was started, and how often it crashed its worker.
  std::map<task_key, int> starts;
  std::map<task_key, int> crash_count;
  /// Number of crashes by tasks, and of starts after a task's third crash.
  int crashed = 0;
  int late_starts = 0;
  /// Starts on a worker without the processors for them.
  int misfits = 0;

  static fleet::step_spec make_step(uint32_t count,
                                    bool is_long_running = false) {
    fleet::step_spec step = test_world::make_step(count, 500);
    step.set_memory_mb(50);
    step.set_long_running(is_long_running);
    return step;
  }
  void submit(uint64_t job, const std::vector<fleet::step_spec>& steps) {
    all.ask(test_world::make_submit(job, steps));
    phases_[job] = fleet::job_queued;
  }
  /// Returns the last known phase, also of a job that is over and forgotten.
  fleet::job_phase phase_of(uint64_t job) const { return phases_.at(job); }
  /// Advances the simulation by `n`, in steps of the controller's tick.
  void run_for(milliseconds n) {
    constexpr milliseconds step{100};
    for (milliseconds at{0}; at < n; at += step) {
      all.pass(step);
      for (size_t i = 0; i < workers_.size(); ++i) advance_worker(i);
      change_leader_if_due();
      for (auto& [job, phase] : phases_) {
        const job_entry* it = all.book().find(job_number(job));
        if (it != nullptr) phase = it->phase;
      }
    }
  }
  /// Advances the simulation until the job has the phase or `limit` has passed.
  /// Returns the elapsed time.
  milliseconds run_until(uint64_t job, fleet::job_phase phase,
                         milliseconds limit) {
    const time_point started_at = all.clock.now();
    while (phase_of(job) != phase && all.clock.now() - started_at < limit) {
      run_for(heartbeat_interval);
    }
    return all.clock.now() - started_at;
  }
  /// Crashes a worker, independently of its tasks.
  void crash(size_t worker) {
    worker_slot& it = workers_[worker];
    const auto lost = std::exchange(it.current, std::nullopt)->start_times;
    for (const auto& [run, started] : lost) break_gang(run);
    it.returns_at = all.clock.now() + settings_.restart_delay;
    if (settings_.leader_change_delay.count() > 0) {
      leader_changes_at_ = all.clock.now() + settings_.leader_change_delay;
    }
    if (settings_.reloads) {
      const std::string saved = all.book().save();
      CHECK_TRUE(all.leader().installed(saved).ok());
    }
  }
  /// Drops the worker's heartbeats for `n`; its runs go on under its lease.
  void cut_off(size_t worker, milliseconds n) {
    workers_[worker].cut_until = all.clock.now() + n;
  }
  /// Suspends the worker for `n`.
  void freeze(size_t worker, milliseconds n) {
    workers_[worker].frozen_until = all.clock.now() + n;
  }
  void drain(size_t worker, uint64_t remaining_ms) {
    fleet::worker_beat& beat = workers_[worker].current->beat;
    beat.set_draining(true);
    beat.set_remaining_ms(remaining_ms);
  }
  /// Returns the number of the job's runs that workers list.
  int runs_of(uint64_t job) const {
    int n = 0;
    for (const worker_slot& it : workers_) {
      if (!it.current) continue;
      for (const auto& row : it.current->beat.running()) {
        n += row.task().job() == job;
      }
    }
    return n;
  }
  /// Returns the tasks that the worker lists.
  std::set<task_key> tasks_on(size_t worker) const {
    std::set<task_key> out;
    if (!is_up(worker)) return out;
    for (const auto& row : workers_[worker].current->beat.running())
      out.insert(to_key(row.task()));
    return out;
  }
  bool is_up(size_t worker) const {
    return workers_[worker].current.has_value();
  }
  size_t size() const { return workers_.size(); }

 private:
  struct incarnation {
    fleet::worker_beat beat;
    time_point started_at{};
    time_point lease_until{};
    std::map<run_key, time_point> start_times;
    std::optional<time_point> crashes_at;
    uint64_t ends = 0;
  };
  struct worker_slot {
    std::optional<incarnation> current;
    time_point returns_at{};
    time_point next_call{};
    time_point cut_until{};
    time_point frozen_until{};
    uint64_t incarnations = 0;
  };

  void start_incarnation(size_t i) {
    worker_slot& it = workers_[i];
    incarnation& current = it.current.emplace();
    current.started_at = all.clock.now();
    ++it.incarnations;
    fleet::worker_beat& beat = current.beat;
    const std::string name = str_cat("w", i);
    beat.set_worker(settings_.keeps_id ? name
                                       : str_cat(name, "-", it.incarnations));
    if (settings_.keeps_id) {
      beat.set_born(1'768'000'000'000 +
                    static_cast<uint64_t>(current.started_at.count()));
    }
    beat.set_pool("pool");
    beat.set_address(str_cat(name, ":1"));
    beat.set_cpu_milli(4'000);
    beat.set_memory_mb(1'000);
    it.next_call =
        current.started_at + milliseconds(static_cast<int64_t>(i % 2) * 100);
  }

  void advance_worker(size_t i) {
    worker_slot& it = workers_[i];
    const time_point now = all.clock.now();
    if (now < it.frozen_until) return;
    if (!it.current) {
      if (now < it.returns_at) return;
      start_incarnation(i);
    }
    if (it.current->crashes_at && now >= *it.current->crashes_at) {
      ++crashed;
      return crash(i);
    }
    end_due_runs(*it.current);
    if (now < it.next_call) return;
    it.next_call = now + heartbeat_interval;
    if (now >= it.cut_until) send_heartbeat(*it.current);
  }

  void end_due_runs(incarnation& it) {
    const time_point now = all.clock.now();
    std::vector<std::pair<run_key, fleet::run_outcome>> due;
    for (const auto& [run, started] : it.start_times) {
      const fleet::step_spec* step = all.book().find_step(run.task);
      const bool is_long_running = step != nullptr && step->long_running();
      if (now >= it.lease_until) {
        due.emplace_back(run, fleet::run_lapsed);
      } else if (!is_long_running && now - started >= settings_.work_time &&
                 !it.crashes_at) {
        due.emplace_back(
            run, gang_breaks(run.task) ? fleet::run_broken : fleet::run_done);
      }
    }
    for (const auto& [run, outcome] : due) end(it, run, outcome);
  }

  /// Returns whether the task belongs to a gang with a task that crashes its
  /// worker.
  bool gang_breaks(task_key task) {
    const fleet::step_spec* step = all.book().find_step(task);
    if (step == nullptr || !step->gang()) return false;
    for (task.index = 0; task.index < step->count(); ++task.index) {
      if (crashes(task)) return true;
    }
    return false;
  }

  /// Ends what other workers run of the gang.
  void break_gang(const run_key& run) {
    const fleet::step_spec* step = all.book().find_step(run.task);
    if (step == nullptr || !step->gang()) return;
    for (worker_slot& it : workers_) {
      if (!it.current) continue;
      run_key member = run;
      for (member.task.index = 0; member.task.index < step->count();
           ++member.task.index) {
        if (it.current->start_times.contains(member))
          end(*it.current, member, fleet::run_broken);
      }
    }
  }

  static void end(incarnation& it, const run_key& run,
                  fleet::run_outcome outcome) {
    it.start_times.erase(run);
    auto& rows = *it.beat.mutable_running();
    for (auto row = rows.begin(); row != rows.end(); ++row) {
      if (to_key(row->task()) != run.task) continue;
      rows.erase(row);
      break;
    }
    fleet::run_end& out = *it.beat.add_ended();
    out.set_number(++it.ends);
    *out.mutable_task() = to_ref(run.task);
    out.set_run(static_cast<uint32_t>(run.run.value()));
    out.set_outcome(outcome);
  }

  fleet::worker_orders send(const fleet::worker_beat& beat) {
    if (settings_.route == heartbeat_route::intake)
      return all.forward(beat).orders();
    fleet::fleet_request request;
    *request.mutable_beat() = beat;
    return all.ask(request).orders();
  }

  void send_heartbeat(incarnation& it) {
    it.beat.set_sequence(it.beat.sequence() + 1);
    const milliseconds age = all.clock.now() - it.started_at;
    it.beat.set_clock_ms(static_cast<uint64_t>(1'000 + age.count()));
    const fleet::worker_orders orders = send(it.beat);
    if (orders.hold_ms() == 0) return;
    it.lease_until =
        all.clock.now() + milliseconds(static_cast<int64_t>(orders.hold_ms()));
    auto& listed = *it.beat.mutable_ended();
    while (!listed.empty() && listed.begin()->number() <= orders.last_end()) {
      listed.erase(listed.begin());
    }
    for (const fleet::stop_order& stop : orders.stops()) {
      const run_key run{to_key(stop.task()), run_number(stop.run())};
      if (it.start_times.contains(run)) end(it, run, fleet::run_stopped);
    }
    for (const fleet::start_order& start : orders.starts())
      start_run(it, start);
  }

  void start_run(incarnation& it, const fleet::start_order& start) {
    const run_key run{to_key(start.task()), run_number(start.run())};
    if (it.start_times.contains(run)) return;
    it.start_times[run] = all.clock.now();
    fleet::running_row& row = *it.beat.add_running();
    *row.mutable_task() = start.task();
    row.set_run(start.run());
    ++starts[run.task];
    if (!fits(it)) ++misfits;
    if (!crashes(run.task)) return;
    if (failed_issuers_ < settings_.failing_issuers) {
      ++failed_issuers_;
      leader_changes_at_ = all.clock.now() + settings_.issuer_failure_delay;
      // With no delay the leader fails before anything else is committed.
      change_leader_if_due();
    }
    constexpr int max_crashes = 3;
    if (crash_count[run.task]++ >= max_crashes) ++late_starts;
    it.crashes_at = all.clock.now() + settings_.crash_delay;
  }

  bool fits(const incarnation& it) {
    uint64_t used = 0;
    for (const auto& [run, started] : it.start_times) {
      const fleet::step_spec* step = all.book().find_step(run.task);
      if (step != nullptr && !step->fills()) used += step->cpu_milli();
    }
    return used <= it.beat.cpu_milli();
  }

  void change_leader_if_due() {
    if (!leader_changes_at_ || all.clock.now() < *leader_changes_at_) return;
    leader_changes_at_.reset();
    all.elect(1 - all.leads());
  }

  crash_settings settings_;
  std::vector<worker_slot> workers_;
  std::map<uint64_t, fleet::job_phase> phases_;
  std::optional<time_point> leader_changes_at_;
  int failed_issuers_ = 0;
};

}  // namespace kestrelreel::crashing

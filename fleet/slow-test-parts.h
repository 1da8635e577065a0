// Types and constants of the seeded simulation of slow leaders and workers.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "fleet/beat-intake.h"
#include "fleet/fleet-test-world.h"

namespace kestrelreel::slow {

/// Length of one step of the simulation.
constexpr milliseconds step_time{20};
/// A worker drops an answer that takes longer, and calls again.
constexpr milliseconds answer_limit{1'000};
constexpr milliseconds heartbeat_interval{200};
/// Longest delay of a message without a fault.
constexpr milliseconds normal_delay{30};
/// How long a worker goes on without an acknowledgement of its leave.
constexpr milliseconds max_stay{6'000};
constexpr int boxes = 3;
constexpr int workers = 8;
constexpr uint64_t worker_cpus = 4;
/// Start of the simulation, in milliseconds of Unix time.
constexpr uint64_t start_unix_ms = 1'768'000'000'000;

/// Random numbers from one seed.
class random_draws {
 public:
  explicit random_draws(uint64_t seed) : engine_(seed) {}
  bool one_in(unsigned n) { return draw(n) == 0; }
  uint64_t draw(uint64_t n) { return engine_() % n; }
  milliseconds up_to(milliseconds n) {
    return milliseconds(
        static_cast<int64_t>(draw(static_cast<uint64_t>(n.count()) + 1)));
  }
  /// Returns a delay that is mostly short and occasionally seconds long.
  milliseconds delay() {
    return one_in(40) ? up_to(milliseconds(4'000)) : up_to(milliseconds(30));
  }

 private:
  std::mt19937_64 engine_;
};

/// Faults of a run. A fault happens in one of `n` steps; 0: never.
struct faults {
  const char* name;
  unsigned stall = 0;
  unsigned election = 0;
  unsigned crash = 0;
  unsigned slow_read = 0;
  unsigned cut = 0;
  unsigned leave = 0;
  // Messages take at most `normal_delay`, and workers drain for at least one
  // second before they leave.
  bool quiet_links = false;
  // Workers that crash and restart under the same id.
  unsigned restart = 0;
  // One of `n` restarts reports a start time from a clock that was set back.
  unsigned clock_set_back = 0;
  // Workers call any box, which forwards the differences to the leader.
  bool intakes = false;
  // The longest time that a commit takes.
  milliseconds commit_time{60};
  // One of `n` answers is lost after it was given.
  unsigned lost_answer = 0;
  // What is acknowledged to a crashed worker counts while its lease lasts.
  bool crashed_listen = false;
  // The workers' clocks run 2% slow.
  bool slow_clocks = false;
  // One of `n` leaves gets no acknowledgement: the worker goes on for up to
  // `max_stay`.
  unsigned unanswered_leave = 0;
  // The first jobs have long-running tasks.
  bool long_running = false;
  // Workers drain for at least so long before they leave.
  milliseconds least_notice{0};
};

class slow_world;

/// The log as one box sees it.
class box_log final : public fleet_log {
 public:
  box_log(slow_world& world, int box) : world_(world), box_(box) {}
  bool may_decide() override;
  term_number term() const override;
  absl::Status propose(const fleet::fleet_command& command) override;

 private:
  slow_world& world_;
  int box_;
};

/// A heartbeat in transit to a box.
struct heartbeat {
  time_point arrives;
  std::string incarnation;
  fleet::worker_beat beat;
};

/// A worker's leave, which may overtake its heartbeats.
struct leave_message {
  time_point arrives;
  std::string incarnation;
  std::string worker;
};

/// Heartbeats that a box forwards, in transit to the leader.
struct forwarded_batch {
  time_point arrives;
  int from;
  fleet::beat_batch batch;
};

/// The leader's answer, in transit to the box that forwarded the heartbeat.
struct forwarded_answer {
  time_point arrives;
  fleet::beat_answer answer;
};

/// A control box and the messages that wait for it.
struct box {
  std::unique_ptr<box_log> log;
  std::unique_ptr<fleet_controller> controller;
  std::unique_ptr<heartbeat_intake> intake;
  int known_leader = -1;
  std::vector<forwarded_batch> batches;
  std::vector<forwarded_answer> replies;
  std::vector<heartbeat> inbox;
  std::vector<leave_message> leaves;
  time_point stalled_until{};
  size_t applied = 0;
};

/// A run and the time at which it ends.
struct timed_run {
  run_key run;
  time_point ends;
};

/// A worker and its current incarnation.
struct simulated_worker {
  // Unique for each incarnation, while `name`, which the boxes know, may be
  // shared with earlier ones.
  std::string id;
  std::string name;
  std::string address;
  uint64_t sequence = 0;
  time_point born{};
  // The start time that the worker reports, in milliseconds of Unix time.
  uint64_t born_ms = 0;
  std::map<run_key, time_point> runs;
  std::vector<fleet::run_end> ended;
  uint64_t end_number = 0;
  std::map<task_key, run_number> highest;
  time_point lease{};
  // Share of the time that the worker's clock shows.
  int clock_percent = 100;
  uint64_t fence = 0;
  int timed_out_calls = 0;
  // Sequence number of the unanswered call; 0: none.
  uint64_t pending = 0;
  time_point sent{};
  time_point next_call{};
  // Until this time messages from and to the worker are delayed or lost.
  time_point cut_until{};
  // Time of the planned leave; the worker drains until then.
  std::optional<time_point> leaves_at;
  // It sent a leave that gets no acknowledgement, and ends at this time.
  std::optional<time_point> ends_at;
};

/// Returns the worker's heartbeat.
inline fleet::worker_beat make_beat(const simulated_worker& it,
                                    time_point now) {
  fleet::worker_beat beat;
  beat.set_worker(it.name);
  beat.set_born(it.born_ms);
  beat.set_pool("pool");
  beat.set_address(it.address);
  beat.set_sequence(it.sequence);
  const milliseconds own_age = (now - it.born) * it.clock_percent / 100;
  beat.set_clock_ms(static_cast<uint64_t>(own_age.count()) + 1);
  beat.set_draining(it.leaves_at.has_value());
  if (it.leaves_at) {
    const milliseconds left = std::max(milliseconds(0), *it.leaves_at - now);
    beat.set_remaining_ms(static_cast<uint64_t>(left.count()));
  }
  beat.set_cpu_milli(worker_cpus * 1'000);
  beat.set_memory_mb(10'000);
  for (const auto& [run, ends] : it.runs) {
    fleet::running_row& row = *beat.add_running();
    *row.mutable_task() = to_ref(run.task);
    row.set_run(static_cast<uint32_t>(run.run.value()));
  }
  for (const fleet::run_end& end : it.ended) *beat.add_ended() = end;
  return beat;
}

/// Adds the run's end to the worker's list.
inline const fleet::run_end& list_end(simulated_worker& it, run_key run,
                                      fleet::run_outcome outcome) {
  fleet::run_end& end = it.ended.emplace_back();
  end.set_number(++it.end_number);
  *end.mutable_task() = to_ref(run.task);
  end.set_run(static_cast<uint32_t>(run.run.value()));
  end.set_outcome(outcome);
  return end;
}

/// Returns a job of so many short tasks.
inline fleet::fleet_request make_job(uint64_t job, uint64_t tasks) {
  fleet::step_spec step = test_world::make_step(static_cast<uint32_t>(tasks));
  step.set_estimate_ms(400);
  return test_world::make_submit(job, {step});
}

/// Jobs up to this number have long-running tasks, if any have.
constexpr uint64_t long_running_jobs = 4;

/// Returns a job of long-running tasks.
inline fleet::fleet_request make_long_running_job(uint64_t job) {
  fleet::step_spec step = test_world::make_step(2);
  step.set_long_running(true);
  return test_world::make_submit(job, {step});
}

/// Handles the leader's answers that have arrived.
inline void read_replies(box& it, time_point now) {
  std::erase_if(it.replies, [&](const forwarded_answer& reply) {
    if (reply.arrives > now) return false;
    fleet::beat_answers one;
    *one.add_answers() = reply.answer;
    it.intake->handle_answers(one);
    return true;
  });
}

/// An answer in transit to a worker.
struct answer {
  time_point arrives;
  std::string worker;
  uint64_t sequence;
  fleet::worker_orders orders;
};

/// A command proposed to the log, committed at `due_at`.
struct proposal {
  time_point due_at;
  fleet::fleet_command command;
};

/// A successful end, and the incarnation that lists it in its heartbeats.
struct successful_end {
  std::string worker;
  uint64_t number;
  time_point at;
  bool acknowledged = false;
  bool lapsed = false;
  bool started_after = false;
  // No fault delayed the worker's heartbeats, so the end must be counted.
  bool must_count = false;
};

/// Tracks the successful ends of all runs and checks that they are counted.
class end_tracker {
 public:
  void add(const task_key& task, const successful_end& end) {
    ends_[task].push_back(end);
  }
  /// Releases the unacknowledged ends of a worker whose lease has expired: they
  /// need not be counted.
  void expire_lease(const std::string& worker) {
    for (auto& [task, ends] : ends_) {
      for (successful_end& end : ends) {
        if (end.worker == worker && !end.acknowledged) end.lapsed = true;
      }
    }
  }
  /// All ends that the worker has listed must be counted.
  void require(const std::string& worker) {
    for (auto& [task, ends] : ends_) {
      for (successful_end& end : ends) end.must_count |= end.worker == worker;
    }
  }
  /// Marks the ends up to number `last` as acknowledged. Returns the violation,
  /// or an empty string.
  std::string acknowledge(const std::string& worker, uint64_t last) {
    std::string violation;
    for (auto& [task, ends] : ends_) {
      for (successful_end& end : ends) {
        if (end.worker != worker || end.number > last || end.acknowledged)
          continue;
        end.acknowledged = true;
        if (!end.started_after || end.lapsed) continue;
        violation =
            to_text(task) + " succeeded, was started again, then acknowledged";
      }
    }
    return violation;
  }
  /// Records a start of the task. Returns the violation, or an empty string.
  std::string start(const task_key& task) {
    std::string violation;
    const auto found = ends_.find(task);
    if (found == ends_.end()) return violation;
    for (successful_end& end : found->second) {
      if (end.acknowledged && !end.lapsed)
        violation =
            to_text(task) + " was started after its acknowledged success";
      if (end.must_count && !end.lapsed)
        violation =
            to_text(task) + " was started after a success that must count";
      end.started_after = true;
    }
    return violation;
  }

 private:
  std::map<task_key, std::vector<successful_end>> ends_;
};

}  // namespace kestrelreel::slow

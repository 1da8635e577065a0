// What the seeded world of slow leaders and workers is made of.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "fleet/beat-intake.h"
#include "fleet/fleet-test-world.h"

namespace kestrelreel::slow {

constexpr milliseconds step_time{20};
constexpr milliseconds answer_limit{1'000};
constexpr milliseconds heartbeat_interval{200};
/// The longest delay that is not a disturbance.
constexpr milliseconds normal_delay{30};
constexpr int boxes = 3;
constexpr int worker_count = 8;
constexpr uint64_t worker_processors = 4;
/// When the world began, in ms since 1970.
constexpr uint64_t start_unix_ms = 1'768'000'000'000;

/// Draws of one seed.
class random_draws {
 public:
  explicit random_draws(uint64_t seed) : engine_(seed) {}
  bool one_in(unsigned n) { return draw(n) == 0; }
  uint64_t draw(uint64_t n) { return engine_() % n; }
  milliseconds up_to(milliseconds n) {
    return milliseconds(
        static_cast<int64_t>(draw(static_cast<uint64_t>(n.count()) + 1)));
  }
  /// Mostly short, now and then seconds.
  milliseconds delay() {
    return one_in(40) ? up_to(milliseconds(4'000)) : up_to(milliseconds(30));
  }

 private:
  std::mt19937_64 engine_;
};

/// What goes wrong in a run, each one step in so many; 0: never.
struct faults {
  const char* name;
  unsigned stall = 0;
  unsigned election = 0;
  unsigned crash = 0;
  unsigned slow_read = 0;
  unsigned cut = 0;
  unsigned leave = 0;
  // Links are quick, and workers drain for a second at least before they leave.
  bool quiet_links = false;
  // Machines that crash and start again under the id that they had.
  unsigned restart = 0;
  // One in so many of these tells a birth from a clock that was set back.
  unsigned clock_set_back = 0;
  // Workers call any box, which passes on what differs to the leader.
  bool intakes = false;
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

struct heartbeat {
  time_point arrives;
  std::string life;
  fleet::worker_beat beat;
};

/// A worker's leave, on a road of its own.
struct leave_message {
  time_point arrives;
  std::string life;
  std::string worker;
};

/// What a box took in for the leader, on its way there.
struct forwarded_batch {
  time_point arrives;
  int from;
  fleet::beat_batch batch;
};

/// The leader's answer, on its way to the box that took the call in.
struct forwarded_answer {
  time_point arrives;
  fleet::beat_answer answer;
};

struct box {
  std::unique_ptr<box_log> log;
  std::unique_ptr<fleet_controller> controller;
  std::unique_ptr<beat_intake> intake;
  int known_leader = -1;
  std::vector<forwarded_batch> batches;
  std::vector<forwarded_answer> replies;
  std::vector<heartbeat> inbox;
  std::vector<leave_message> leave_messages;
  time_point stalled_until{};
  size_t applied = 0;
};

struct timed_run {
  run_key run;
  time_point ends;
};

/// One machine and its present life.
struct simulated_worker {
  // No two lives share an id; to the boxes a later one may bear an earlier
  // one's name.
  std::string id;
  std::string name;
  std::string address;
  uint64_t sequence = 0;
  time_point born{};
  // What it tells of its birth.
  uint64_t born_ms = 0;
  std::map<run_key, time_point> runs;
  std::vector<fleet::run_end> ended;
  uint64_t end_number = 0;
  std::map<task_key, run_number> highest;
  time_point lease{};
  uint64_t fence = 0;
  int calls = 0;
  // The call that is out.
  uint64_t out = 0;
  time_point sent{};
  time_point next_call{};
  // Until then what it sends and is sent is held up or lost.
  time_point cut_until{};
  // When it leaves in order; it drains before.
  std::optional<time_point> leaves_at;
};

/// What the machine tells of itself.
inline fleet::worker_beat make_beat(const simulated_worker& it,
                                    time_point now) {
  fleet::worker_beat beat;
  beat.set_worker(it.name);
  beat.set_born(it.born_ms);
  beat.set_pool("pool");
  beat.set_address(it.address);
  beat.set_sequence(it.sequence);
  beat.set_clock_ms(static_cast<uint64_t>((now - it.born).count()) + 1);
  beat.set_draining(it.leaves_at.has_value());
  if (it.leaves_at) {
    const milliseconds left = *it.leaves_at - now;
    beat.set_remaining_ms(static_cast<uint64_t>(left.count()));
  }
  beat.set_cpu_milli(worker_processors * 1'000);
  beat.set_memory_mb(10'000);
  for (const auto& [run, ends] : it.runs) {
    fleet::running_row& row = *beat.add_running();
    *row.mutable_task() = to_ref(run.task);
    row.set_run(static_cast<uint32_t>(run.run.value()));
  }
  for (const fleet::run_end& end : it.ended) *beat.add_ended() = end;
  return beat;
}

/// The leader's answers that have come.
inline void read_replies(box& it, time_point now) {
  std::erase_if(it.replies, [&](const forwarded_answer& reply) {
    if (reply.arrives > now) return false;
    fleet::beat_answers one;
    *one.add_answers() = reply.answer;
    it.intake->answered(one);
    return true;
  });
}

struct answer {
  time_point arrives;
  std::string worker;
  uint64_t sequence;
  fleet::worker_orders orders;
};

/// What the log is asked to keep, and from when it lasts.
struct proposal {
  time_point commits_at;
  fleet::fleet_command command;
};

/// A good end, at the life of a worker that lists it.
struct successful_end {
  std::string worker;
  uint64_t number;
  time_point at;
  bool acknowledged = false;
  bool lapsed = false;
  bool started_after = false;
  // Nothing held up the worker's calls: the end is owed to be counted.
  bool must_count = false;
};

/// The good ends of all runs, and what became of them.
class end_tracker {
 public:
  void add(const task_key& task, const successful_end& end) {
    ends_[task].push_back(end);
  }
  /// An end that was not taken note of while the lease held is owed nothing.
  void expire_lease(const std::string& worker) {
    for (auto& [task, ends] : ends_) {
      for (successful_end& end : ends) {
        if (end.worker == worker && !end.acknowledged) end.lapsed = true;
      }
    }
  }
  /// All that the worker listed is owed to be counted.
  void require_counted(const std::string& worker) {
    for (auto& [task, ends] : ends_) {
      for (successful_end& end : ends) end.must_count |= end.worker == worker;
    }
  }
  /// The ends up to that number are taken note of; what is wrong with that.
  std::string acknowledge(const std::string& worker, uint64_t last) {
    std::string violation;
    for (auto& [task, ends] : ends_) {
      for (successful_end& end : ends) {
        if (end.worker != worker || end.number > last || end.acknowledged)
          continue;
        end.acknowledged = true;
        if (!end.started_after || end.lapsed) continue;
        violation =
            to_text(task) + " ended well, was started again, then noted";
      }
    }
    return violation;
  }
  /// The task starts once more; what is wrong with that.
  std::string start(const task_key& task) {
    std::string violation;
    const auto found = ends_.find(task);
    if (found == ends_.end()) return violation;
    for (successful_end& end : found->second) {
      if (end.acknowledged && !end.lapsed)
        violation = to_text(task) + " was done";
      if (end.must_count && !end.lapsed)
        violation = to_text(task) + " had ended well";
      end.started_after = true;
    }
    return violation;
  }

 private:
  std::map<task_key, std::vector<successful_end>> ends_;
};

}  // namespace kestrelreel::slow

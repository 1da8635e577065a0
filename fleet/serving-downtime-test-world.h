// Shared by the tests of how long a long-running task is down after its worker
// was lost: workers that hold their runs for the length of a lease, and control
// boxes that lead in turn.
#pragma once

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <deque>
#include <string>

#include "fleet/cancelled-test-world.h"

namespace kestrelreel::downtime {

constexpr milliseconds step_time{100};
/// Users tolerate an outage of this length if there is free capacity.
constexpr milliseconds max_downtime{9'000};
/// Elections take 0.8 to 1.6 s.
constexpr milliseconds election_time{1'200};
constexpr uint64_t serving_job = 7;

inline controller_settings make_settings(milliseconds lease) {
  controller_settings settings = test_world::make_settings();
  settings.leases.duration = lease;
  return settings;
}

/// A worker that holds its runs until its lease ends.
class leased_worker {
 public:
  leased_worker(cancelled::control_boxes& boxes, const std::string& name,
                uint64_t cpu_milli)
      : boxes_(boxes) {
    beat_.set_worker(name);
    beat_.set_address(name + ":1");
    beat_.set_pool("pool");
    beat_.set_cpu_milli(cpu_milli);
    beat_.set_memory_mb(1'000);
  }

  /// The next heartbeat, as sent now.
  const fleet::worker_beat& next_heartbeat() {
    beat_.set_sequence(beat_.sequence() + 1);
    beat_.set_clock_ms(static_cast<uint64_t>(boxes_.clock.now().count()));
    return beat_;
  }
  /// Sends a heartbeat and carries out the answer.
  void call() {
    fleet::fleet_request request;
    *request.mutable_beat() = next_heartbeat();
    const time_point sent_at = boxes_.clock.now();
    const fleet::worker_orders orders = boxes_.ask(request).orders();
    if (orders.hold_ms() == 0) return;
    lease_ = sent_at + milliseconds(static_cast<int64_t>(orders.hold_ms()));
    for (const fleet::start_order& it : orders.starts()) {
      fleet::running_row& row = *beat_.add_running();
      *row.mutable_task() = it.task();
      row.set_run(it.run());
    }
  }
  /// Calls no more; the runs go on until the lease ends.
  void cut_off() { reachable_ = false; }
  /// Ends all runs, and calls no more.
  void crash() {
    cut_off();
    beat_.clear_running();
  }
  void kill_expired_runs() {
    if (boxes_.clock.now() >= lease_) beat_.clear_running();
  }
  bool reachable() const { return reachable_; }
  bool serves() const { return !beat_.running().empty(); }
  const std::string& name() const { return beat_.worker(); }

 private:
  cancelled::control_boxes& boxes_;
  fleet::worker_beat beat_;
  time_point lease_{};
  bool reachable_ = true;
};

/// One long-running task, served by worker `first`; worker `spare` has free
/// capacity for it all the time.
class serving_world {
 public:
  explicit serving_world(milliseconds lease = lease_settings().duration)
      : boxes_(make_settings(lease)), first_(add_worker("first", 8'000)) {
    fleet::step_spec step = test_world::make_step(1);
    step.set_long_running(true);
    boxes_.ask(test_world::make_submit(serving_job, {step}));
    pass(milliseconds(1'000));
    CHECK_TRUE(first_.serves());
    add_worker("spare", 4'000);
    pass(milliseconds(1'000));
  }

  leased_worker& first() { return first_; }
  /// Tasks are placed on the worker with the most free capacity.
  leased_worker& add_worker(const std::string& name, uint64_t cpu_milli) {
    leased_worker& it = workers_.emplace_back(boxes_, name, cpu_milli);
    it.call();
    return it;
  }
  void pass(milliseconds n) {
    for (milliseconds at{0}; at < n; at += step_time) {
      boxes_.pass(step_time);
      // Each worker calls every 200 ms.
      const bool calls = ++steps_ % 2 == 0;
      for (leased_worker& it : workers_) {
        if (calls && it.reachable()) it.call();
      }
      update_downtime();
    }
  }
  /// Delivers a heartbeat that was sent earlier; its answer is lost.
  void deliver(const fleet::worker_beat& beat) {
    fleet::fleet_request request;
    *request.mutable_beat() = beat;
    boxes_.ask(request);
  }
  void change_leader() {
    for (milliseconds at{0}; at < election_time; at += step_time) {
      boxes_.clock.advance(step_time);
      update_downtime();
    }
    boxes_.elect(1 - boxes_.leads());
  }
  /// Passes the time until the task is placed on another worker than `first`.
  leased_worker& wait_for_placement() {
    constexpr int max_steps = 100;
    for (int i = 0; i < max_steps; ++i) {
      for (leased_worker& it : workers_) {
        const bool placed =
            !boxes_.book().runs_on(worker_id(it.name())).empty();
        if (placed && &it != &first_) return it;
      }
      pass(step_time);
    }
    FAIL("the task is not placed");
    return first_;
  }
  /// Waits until the task runs again, for at most 30 s.
  void check_downtime() {
    constexpr milliseconds limit{30'000};
    for (milliseconds at{0}; at < limit && !serves(); at += step_time)
      pass(step_time);
    const std::string text =
        "down for " + std::to_string(longest_downtime_.count()) + " ms";
    CHECK_TRUE_TEXT(longest_downtime_ <= max_downtime, text.c_str());
  }

 private:
  bool serves() const {
    return std::any_of(workers_.begin(), workers_.end(),
                       [](const auto& it) { return it.serves(); });
  }
  void update_downtime() {
    for (leased_worker& it : workers_) it.kill_expired_runs();
    downtime_ = serves() ? milliseconds(0) : downtime_ + step_time;
    longest_downtime_ = std::max(longest_downtime_, downtime_);
  }

  cancelled::control_boxes boxes_;
  std::deque<leased_worker> workers_;
  leased_worker& first_;
  int steps_ = 0;
  milliseconds downtime_{0};
  milliseconds longest_downtime_{0};
};

}  // namespace kestrelreel::downtime

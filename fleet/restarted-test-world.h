// Shared by the tests of workers that restart under the same id: incarnations
// of one worker that carry out their orders.
#pragma once

#include <CppUTest/TestHarness.h>

#include <cstdint>

#include "fleet/cancelled-test-world.h"

namespace kestrelreel::restarted {

using cancelled::control_boxes;
using cancelled::heartbeat_route;

inline constexpr const char* id = "i-1";
/// Time until a new incarnation is used: heartbeats 0.8 s apart prove that an
/// incarnation is alive; an order and the next heartbeat follow.
inline constexpr milliseconds takeover_time{1'600};
inline constexpr int heartbeats_per_takeover = 8;
inline constexpr uint64_t second_start_ms = 1'768'000'100'000;
inline constexpr uint64_t first_start_ms = second_start_ms - 30'000;

/// One incarnation of the worker; carries out its orders.
class incarnation {
 public:
  incarnation(control_boxes& boxes, heartbeat_route route, uint64_t born,
              int64_t clock_ms)
      : boxes_(boxes), route_(route), started_(boxes.clock.now()) {
    beat_.set_worker(id);
    beat_.set_born(born);
    beat_.set_pool("pool");
    beat_.set_address("place:1");
    beat_.set_machine("m");
    beat_.set_cpu_milli(4'000);
    beat_.set_memory_mb(1'000);
    clock_ms_ = clock_ms;
  }

  fleet::worker_orders send_heartbeat() {
    beat_.set_sequence(beat_.sequence() + 1);
    const milliseconds age = boxes_.clock.now() - started_;
    beat_.set_clock_ms(static_cast<uint64_t>(clock_ms_ + age.count()));
    last_response_ = send(beat_);
    const fleet::worker_orders orders = last_response_.orders();
    if (orders.hold_ms() == 0) return orders;
    auto& listed = *beat_.mutable_ended();
    while (!listed.empty() && listed.begin()->number() <= orders.last_end()) {
      listed.erase(listed.begin());
    }
    for (const fleet::start_order& start : orders.starts()) {
      fleet::running_row& row = *beat_.add_running();
      *row.mutable_task() = start.task();
      row.set_run(start.run());
    }
    return orders;
  }
  /// Sends a heartbeat every 200 ms for `n`. Returns the number of answers that
  /// granted a lease.
  int send_heartbeats_for(milliseconds n) {
    int leases = 0;
    for (milliseconds at{0}; at < n; at += cancelled::heartbeat_interval) {
      if (send_heartbeat().hold_ms() > 0) ++leases;
      boxes_.pass(cancelled::heartbeat_interval);
    }
    return leases;
  }
  /// Ends all runs with `outcome`.
  void end_all(fleet::run_outcome outcome = fleet::run_done) {
    for (const fleet::running_row& row : beat_.running()) {
      fleet::run_end& end = *beat_.add_ended();
      end.set_number(++ends_);
      *end.mutable_task() = row.task();
      end.set_run(row.run());
      end.set_outcome(outcome);
    }
    beat_.clear_running();
  }
  fleet::fleet_response send(const fleet::worker_beat& beat) {
    if (route_ == heartbeat_route::intake) return boxes_.forward(beat);
    fleet::fleet_request request;
    *request.mutable_beat() = beat;
    return boxes_.ask(request);
  }
  /// Returns the number of the job's runs that this incarnation lists.
  int runs_of(uint64_t job) const {
    int n = 0;
    for (const auto& row : beat_.running()) n += row.task().job() == job;
    return n;
  }
  fleet::worker_beat& beat() { return beat_; }
  const fleet::fleet_response& last_response() const { return last_response_; }

 private:
  control_boxes& boxes_;
  heartbeat_route route_;
  time_point started_;
  int64_t clock_ms_;
  fleet::worker_beat beat_;
  fleet::fleet_response last_response_;
  uint64_t ends_ = 0;
};

inline void submit(control_boxes& boxes, uint64_t job, uint32_t tasks,
                   bool long_running = false) {
  fleet::step_spec step = test_world::make_step(tasks);
  step.set_long_running(long_running);
  boxes.ask(test_world::make_submit(job, {step}));
}

inline fleet::job_phase phase_of(control_boxes& boxes, uint64_t job) {
  fleet::fleet_request request = test_world::make_call(job);
  request.mutable_job()->set_state(true);
  return boxes.ask(request).phase();
}

/// How the second incarnation differs, and whether the leader changes.
struct restart_case {
  const char* name;
  heartbeat_route route;
  bool leader_changes;
  // First reading of the second incarnation's clock, in milliseconds; the clock
  // of the first incarnation starts at 500,000 ms.
  int64_t clock_ms;
};

inline const restart_case restart_cases[] = {
    {"at the leader", heartbeat_route::direct, false, 2'000},
    {"at the leader, later clock", heartbeat_route::direct, false, 9'000'000},
    {"through another box", heartbeat_route::intake, false, 2'000},
    {"at the leader, which changes", heartbeat_route::direct, true, 2'000},
    {"through another box, the leader changes", heartbeat_route::intake, true,
     9'000'000},
};

/// Ends three runs of the first incarnation and has it run two more tasks, one
/// of them long-running.
inline void run_first_incarnation(control_boxes& boxes, incarnation& it) {
  it.send_heartbeats_for(milliseconds(1'000));
  submit(boxes, 1, 3);
  it.send_heartbeats_for(milliseconds(400));
  LONGS_EQUAL(3, it.runs_of(1));
  it.end_all();
  it.send_heartbeats_for(milliseconds(400));
  LONGS_EQUAL(fleet::job_succeeded, phase_of(boxes, 1));
  submit(boxes, 2, 1);
  submit(boxes, 3, 1, true);
  it.send_heartbeats_for(milliseconds(400));
  LONGS_EQUAL(1, it.runs_of(2));
  LONGS_EQUAL(1, it.runs_of(3));
}

}  // namespace kestrelreel::restarted

// Shared by the tests of the controller: a log that commits on demand, a
// virtual clock, and workers that carry out their orders.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "fleet/controller.h"

namespace kestrelreel {

/// A clock that advances only when a test says so.
class test_clock final : public clock_source {
 public:
  time_point now() const override { return now_; }
  void advance(milliseconds n) { now_ += n; }

 private:
  time_point now_{100'000};
};

/// Keeps proposals until the test applies them.
class test_log final : public fleet_log {
 public:
  bool may_decide() override { return decides; }
  term_number term() const override { return term_number(leader_term); }
  absl::Status propose(const fleet::fleet_command& command) override {
    if (refuses) return absl::UnavailableError("does not lead");
    proposed.push_back(command);
    return absl::OkStatus();
  }

  bool decides = true;
  bool refuses = false;
  uint64_t leader_term = 1;
  std::deque<fleet::fleet_command> proposed;
};

/// A controller with its log, clock and simulated workers.
class test_world {
 public:
  explicit test_world(controller_settings settings = make_settings())
      : controller(std::move(settings), clock, log, metrics) {
    controller.set_leading(true);
  }

  /// Applies all proposals and lets the controller decide, until no proposals
  /// remain.
  void commit() {
    for (int i = 0; i < 20; ++i) {
      while (!log.proposed.empty()) {
        const fleet::fleet_command command = log.proposed.front();
        log.proposed.pop_front();
        controller.applied(command);
      }
      controller.decide();
      if (log.proposed.empty()) return;
    }
  }

  /// Advances the clock by `n`, with the controller's ticks.
  void pass(milliseconds n) {
    constexpr milliseconds step{100};
    for (milliseconds at{0}; at < n; at += step) {
      clock.advance(step);
      controller.tick();
      commit();
    }
  }

  fleet::fleet_response ask(const fleet::fleet_request& request) {
    fleet::fleet_response out;
    answered = 0;
    controller.request(request, [&](fleet::fleet_response it) {
      out = std::move(it);
      ++answered;
    });
    commit();
    return out;
  }

  void configure(uint64_t version = 1, uint32_t max_attempts = 2) {
    fleet::fleet_request request;
    *request.mutable_put_config() = make_config(version, max_attempts);
    ask(request);
  }

  static fleet::fleet_config make_config(uint64_t version,
                                         uint32_t max_attempts = 2) {
    fleet::fleet_config config;
    config.set_version(version);
    config.add_pools()->set_name("pool");
    config.add_pools()->set_name("elsewhere");
    fleet::queue_route& queue = *config.add_queues();
    queue.set_name("plans");
    queue.set_host("plans.example");
    queue.set_path_prefix("/plans/");
    queue.set_timeout_ms(3'000);
    queue.set_objective_ms(1'000);
    queue.set_pool("pool");
    queue.set_max_attempts(max_attempts);
    queue.set_stretch(2);
    config.set_source("source");
    return config;
  }

  static fleet::step_spec make_step(uint32_t count, uint64_t cpu = 1'000) {
    fleet::step_spec step;
    step.set_count(count);
    step.set_cpu_milli(cpu);
    step.set_memory_mb(100);
    step.set_estimate_ms(1'000);
    return step;
  }

  static fleet::fleet_request make_submit(
      uint64_t job, const std::vector<fleet::step_spec>& steps) {
    fleet::fleet_request request = make_call(job);
    fleet::fleet_job_spec& spec = *request.mutable_job()->mutable_submit();
    spec.set_text("text");
    for (const fleet::step_spec& it : steps) *spec.add_steps() = it;
    return request;
  }

  static fleet::fleet_request make_call(uint64_t job) {
    fleet::fleet_request request;
    request.mutable_job()->set_host("plans.example:80");
    request.mutable_job()->set_path("/plans/" + to_text(job_number(job)));
    request.mutable_job()->set_job(job);
    return request;
  }

  fleet::fleet_response submit(uint64_t job,
                               const std::vector<fleet::step_spec>& steps) {
    return ask(make_submit(job, steps));
  }

  fleet::fleet_response state(uint64_t job) {
    fleet::fleet_request request = make_call(job);
    request.mutable_job()->set_state(true);
    return ask(request);
  }

  fleet::fleet_response cancel(uint64_t job) {
    fleet::fleet_request request = make_call(job);
    request.mutable_job()->set_cancel(true);
    return ask(request);
  }

  /// Returns the worker's entry in `workers`, prepared as its next heartbeat.
  fleet::worker_beat& next_heartbeat(const std::string& worker);
  /// Sends the worker's heartbeat from `workers` and carries out the start
  /// orders of the answer.
  fleet::worker_orders beat(const std::string& worker);
  /// Ends a run: the worker lists the end and frees the capacity.
  void end(const std::string& worker, const fleet::task_ref& task, uint32_t run,
           fleet::run_outcome outcome, const std::string& saved = "");

  static controller_settings make_settings() {
    controller_settings settings;
    settings.leases.duration = milliseconds(4'000);
    settings.heartbeat_address = "leader:1";
    settings.wall_clock_ms = [] { return uint64_t{1'000'000}; };
    return settings;
  }

  test_clock clock;
  test_log log;
  metrics_registry metrics;
  fleet_controller controller;
  std::map<std::string, fleet::worker_beat> workers;
  std::map<std::string, uint64_t> ends;
  int answered = 0;
};

inline fleet::worker_beat& test_world::next_heartbeat(
    const std::string& worker) {
  fleet::worker_beat& it = workers[worker];
  if (it.worker().empty()) {
    it.set_worker(worker);
    it.set_pool("pool");
    it.set_address(worker + ":1");
    it.set_cpu_milli(4'000);
    it.set_memory_mb(1'000);
  }
  it.set_sequence(it.sequence() + 1);
  it.set_clock_ms(static_cast<uint64_t>(clock.now().count()));
  return it;
}

inline fleet::worker_orders test_world::beat(const std::string& worker) {
  fleet::worker_beat& it = next_heartbeat(worker);
  fleet::fleet_request request;
  *request.mutable_beat() = it;
  const fleet::worker_orders orders = ask(request).orders();
  if (orders.hold_ms() == 0) return orders;
  auto& listed = *it.mutable_ended();
  while (!listed.empty() && listed.begin()->number() <= orders.last_end()) {
    listed.erase(listed.begin());
  }
  for (const fleet::start_order& start : orders.starts()) {
    fleet::running_row& row = *it.add_running();
    *row.mutable_task() = start.task();
    row.set_run(start.run());
    row.set_saved(start.saved());
  }
  return orders;
}

inline void test_world::end(const std::string& worker,
                            const fleet::task_ref& task, uint32_t run,
                            fleet::run_outcome outcome,
                            const std::string& saved) {
  fleet::worker_beat& it = workers[worker];
  auto& rows = *it.mutable_running();
  for (auto row = rows.begin(); row != rows.end(); ++row) {
    if (to_key(row->task()) != to_key(task) || row->run() != run) continue;
    rows.erase(row);
    break;
  }
  fleet::run_end& end = *it.add_ended();
  end.set_number(++ends[worker]);
  *end.mutable_task() = task;
  end.set_run(run);
  end.set_outcome(outcome);
  end.set_saved(saved);
}

}  // namespace kestrelreel

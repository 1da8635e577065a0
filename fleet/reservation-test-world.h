// Shared by the tests of capacity reservations: two queues, and workers that
// end runs as soon as they are ordered to stop them.
#pragma once

#include <string>

#include "fleet/fleet-test-world.h"

namespace kestrelreel {

constexpr uint64_t short_job = 1;
constexpr uint64_t long_running_job = 2;
constexpr uint64_t other_job = 3;
constexpr milliseconds step_time{200};
/// Covers the 3 s before capacity is reserved for a task that never started.
constexpr milliseconds until_reserved{4'000};

/// Two queues, and workers that end runs as soon as the stop is ordered.
class reservation_world : public test_world {
 public:
  explicit reservation_world(milliseconds stop = milliseconds(200),
                             size_t max_evaluations = 100'000)
      : test_world(make_timed(this, stop, max_evaluations)) {
    fleet::fleet_config config = make_config(1);
    fleet::queue_route low = config.queues(0);
    low.set_name("low");
    low.set_path_prefix("/low/");
    low.set_priority(2);
    *config.add_queues() = low;
    fleet::fleet_request request;
    *request.mutable_put_config() = config;
    ask(request);
  }

  void submit_to(bool low, uint64_t job, const fleet::step_spec& step) {
    fleet::fleet_request request = make_submit(job, {step});
    if (low) {
      request.mutable_job()->set_path("/low/" + to_text(job_number(job)));
    }
    ask(request);
  }

  /// Submits a job with repetitions 2 s apart, the first due after `ahead`.
  void submit_scheduled(milliseconds ahead, uint32_t times, uint64_t job,
                        const fleet::step_spec& step) {
    fleet::fleet_request request = make_submit(job, {step});
    fleet::fleet_job_spec& spec = *request.mutable_job()->mutable_submit();
    spec.set_times(times);
    spec.set_interval_ms(2'000);
    spec.set_start_ms(static_cast<uint64_t>((clock.now() + ahead).count()));
    ask(request);
  }

  /// Adds workers of another pool, which get no tasks of the queues.
  void add_other_pool_workers(int n) {
    for (int i = 0; i < n; ++i) {
      const std::string name = "other" + std::to_string(i);
      workers[name].set_worker(name);
      workers[name].set_pool("elsewhere");
      beat(name);
    }
  }

  void heartbeat(const std::string& name) {
    const fleet::worker_orders orders = beat(name);
    for (const fleet::stop_order& it : orders.stops()) {
      ++stops;
      end(name, it.task(), it.run(), fleet::run_stopped, "saved");
    }
  }

  void run_for(milliseconds n) {
    for (milliseconds at{0}; at < n; at += step_time) {
      pass(step_time);
      for (const auto& entry : workers) heartbeat(entry.first);
    }
  }

  /// Submits the step and lets the worker start its tasks.
  void occupy(const std::string& name, bool low, uint64_t job,
              const fleet::step_spec& step) {
    heartbeat(name);
    submit_to(low, job, step);
    heartbeat(name);
    heartbeat(name);
  }

  size_t reservations(uint64_t job) {
    size_t n = 0;
    for (const auto& [id, it] : controller.workers().views()) {
      for (const capacity_reservation& entry : it.reservations) {
        n += entry.step.job == job_number(job) ? 1U : 0U;
      }
    }
    return n;
  }

  size_t running(uint64_t job) {
    size_t n = 0;
    for (const auto& [name, it] : workers) {
      for (const fleet::running_row& row : it.running()) {
        n += row.task().job() == job ? 1U : 0U;
      }
    }
    return n;
  }

  int stops = 0;

 private:
  /// The time of day advances with the virtual clock.
  static controller_settings make_timed(reservation_world* it,
                                        milliseconds stop,
                                        size_t max_evaluations) {
    controller_settings settings = make_settings();
    settings.worker_stop = stop;
    settings.scheduling.max_reservation_evaluations = max_evaluations;
    settings.wall_clock_ms = [it] {
      return static_cast<uint64_t>(it->clock.now().count());
    };
    return settings;
  }
};

/// Short tasks with an estimate of `ms`; they run until a test ends them.
inline fleet::step_spec make_short(uint32_t count, uint64_t cpu, uint64_t ms) {
  fleet::step_spec step = test_world::make_step(count, cpu);
  step.set_memory_mb(10);
  step.set_estimate_ms(ms);
  return step;
}

inline fleet::step_spec make_long_running(uint32_t count, uint64_t cpu) {
  fleet::step_spec step = test_world::make_step(count, cpu);
  step.set_memory_mb(10);
  step.set_long_running(true);
  return step;
}

/// Two tasks that leave too little memory for `make_large` and lose little work
/// when evicted.
inline fleet::step_spec make_batch(bool backfill) {
  fleet::step_spec step = test_world::make_step(2, 500);
  step.set_memory_mb(450);
  step.set_fills(backfill);
  step.set_saves_progress(true);
  step.set_estimate_ms(60'000);
  return step;
}

inline fleet::step_spec make_large() {
  fleet::step_spec step = make_long_running(1, 1'000);
  step.set_memory_mb(400);
  return step;
}

}  // namespace kestrelreel

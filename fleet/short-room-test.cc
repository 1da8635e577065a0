// Guards against short jobs that starve because their tasks are larger than the
// gaps that long-running tasks leave: new long-running tasks took each gap for
// good. On 350 workers 0.31 to 0.36 of the largest tenth of short jobs and 0.70
// to 0.73 of all were served, with or without processor time counted. Workers
// had the memory (341 to 348 of 350) but not the processors (at most 2 to 6
// cores free, 4 to 12 needed); without their short tasks 0 to 100 fitted.
#include <CppUTest/TestHarness.h>

#include "fleet/fleet-test-world.h"
#include "fleet/short-demand.h"

using namespace kestrelreel;

namespace {

constexpr int workers = 40;
/// Long-running tasks of four cores that would take all processors.
constexpr uint32_t long_running_tasks = 320;
constexpr uint64_t worker_cpu = 32'000;
constexpr uint64_t long_running_job = 1;
constexpr uint64_t first_short_job = 100;

}  // namespace

TEST_GROUP(short_room) {
  test_world world;
  uint64_t short_jobs = 0;

  void setup() override {
    world.configure(1, 99);
    for (int i = 0; i < workers; ++i) {
      fleet::worker_beat& it = world.workers[name(i)];
      it.set_worker(name(i));
      it.set_pool("pool");
      it.set_address(name(i) + ":1");
      it.set_cpu_milli(worker_cpu);
      it.set_memory_mb(1'000'000);
    }
    beat_all();
  }
  static std::string name(int i) { return "w" + std::to_string(i); }
  void beat_all() {
    for (int i = 0; i < workers; ++i) world.beat(name(i));
  }
  void serve() {
    fleet::step_spec step = test_world::make_step(long_running_tasks, 4'000);
    step.set_long_running(true);
    step.set_target_ms(100);
    step.set_image("serving");
    world.submit(long_running_job, {step});
    beat_all();
  }
  /// Submits a short job with tasks of 4 cores and 0.64 s.
  void submit_short(uint32_t tasks) {
    fleet::step_spec step = test_world::make_step(tasks, 4'000);
    step.set_estimate_ms(640);
    world.submit(first_short_job + ++short_jobs, {step});
  }
  /// Ends all running short tasks successfully.
  void end_short_tasks() {
    for (int i = 0; i < workers; ++i) {
      const auto rows = world.workers[name(i)].running();
      for (const auto& row : rows) {
        if (row.task().job() == long_running_job) continue;
        world.end(name(i), row.task(), row.run(), fleet::run_done);
      }
    }
  }
  uint32_t running(uint64_t job) {
    const job_entry* it = world.controller.book().find(job_number(job));
    return it->times[0][0].running;
  }
  void pass(milliseconds n) {
    constexpr milliseconds step{200};
    for (milliseconds at{0}; at < n; at += step) {
      world.pass(step);
      beat_all();
    }
  }
};

TEST(short_room, earlier_long_running_tasks_leave_capacity) {
  serve();
  submit_short(5);
  beat_all();
  LONGS_EQUAL(5, running(first_short_job + 1));
}

TEST(short_room, short_demand_stays_available) {
  // 64 tasks of 4 cores and 0.64 s each 0.8 s are some 205 cores of 1,280, or
  // 51 tasks at a time.
  for (int i = 0; i < 20; ++i) {
    submit_short(64);
    pass(milliseconds(800));
    end_short_tasks();
  }
  serve();
  submit_short(64);
  pass(milliseconds(400));
  CHECK_TRUE(running(first_short_job + short_jobs) >= 51);
}

TEST(short_room, long_running_tasks_get_all_without_short_jobs) {
  serve();
  CHECK_TRUE(running(long_running_job) < long_running_tasks);
  pass(milliseconds(30'000));
  LONGS_EQUAL(long_running_tasks, running(long_running_job));
}

TEST(short_room, interrupted_task_takes_the_remaining_capacity) {
  serve();
  const uint32_t before = running(long_running_job);
  // All runs of a worker fail; their tasks move to other workers at once.
  const auto rows = world.workers[name(0)].running();
  for (const auto& row : rows) {
    world.end(name(0), row.task(), row.run(), fleet::run_failed);
  }
  world.workers[name(0)].set_draining(true);
  world.workers[name(0)].set_remaining_ms(60'000);
  beat_all();
  pass(milliseconds(400));
  CHECK_TRUE(rows.size() > 0);
  LONGS_EQUAL(before, running(long_running_job));
}

TEST(short_room, demand_is_the_accepted_work_by_priority) {
  fleet::fleet_job_spec job;
  *job.add_steps() = test_world::make_step(10, 2'000);
  fleet::step_spec& long_running = *job.add_steps();
  long_running = test_world::make_step(10, 2'000);
  long_running.set_long_running(true);
  short_demand demand;
  // The short step demands 20 core-seconds per second.
  for (int i = 0; i < 60; ++i)
    demand.record_job(job, 1, milliseconds(1'000 * i));
  const time_point now{60'000};
  LONGS_EQUAL(0, demand.cpu_milli(0, now));
  CHECK_TRUE(demand.cpu_milli(1, now) > 16'000);
  CHECK_TRUE(demand.cpu_milli(1, now) < 24'000);
  CHECK_TRUE(demand.cpu_milli(1, now + milliseconds(60'000)) < 10);
}

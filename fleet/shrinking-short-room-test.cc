// Long-running tasks of workers that leave restart in the share of short jobs.
#include <CppUTest/TestHarness.h>

#include <algorithm>

#include "fleet/fleet-test-world.h"

using namespace kestrelreel;

namespace {

constexpr int workers = 40;
constexpr int leaving = 13;
constexpr uint32_t long_running_tasks = 320;
constexpr uint64_t worker_cpu = 32'000;
constexpr uint64_t task_cpu = 4'000;
/// Tasks of the remaining workers.
constexpr uint32_t places = (workers - leaving) * worker_cpu / task_cpu;
constexpr uint64_t long_running_job = 1;
constexpr uint64_t first_short_job = 100;
constexpr milliseconds short_interval{800};

}  // namespace

TEST_GROUP(shrinking_short_room) {
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
    fleet::step_spec step = test_world::make_step(long_running_tasks, task_cpu);
    step.set_long_running(true);
    step.set_target_ms(100);
    step.set_image("serving");
    world.submit(long_running_job, {step});
    beat_all();
  }
  /// One wave of short tasks, some 205 cores of demand; returns how many ran.
  uint32_t run_short_wave() {
    fleet::step_spec step = test_world::make_step(64, task_cpu);
    step.set_estimate_ms(640);
    world.submit(first_short_job + ++short_jobs, {step});
    pass(short_interval);
    uint32_t n = 0;
    for (int i = 0; i < workers; ++i) {
      const auto rows = world.workers[name(i)].running();
      for (const auto& row : rows) {
        if (row.task().job() == long_running_job) continue;
        world.end(name(i), row.task(), row.run(), fleet::run_done);
        ++n;
      }
    }
    return n;
  }
  void leave() {
    for (int i = 0; i < leaving; ++i) {
      world.workers[name(i)].set_draining(true);
      world.workers[name(i)].set_remaining_ms(60'000);
      const auto rows = world.workers[name(i)].running();
      for (const auto& row : rows)
        world.end(name(i), row.task(), row.run(), fleet::run_failed);
    }
    beat_all();
  }
  void pass(milliseconds n) {
    constexpr milliseconds step{200};
    for (milliseconds at{0}; at < n; at += step) {
      world.pass(step);
      beat_all();
    }
  }
  uint32_t long_running() {
    const job_entry* it =
        world.controller.book().find(job_number(long_running_job));
    return it->times[0][0].running;
  }
};

TEST(shrinking_short_room, short_jobs_keep_their_share) {
  for (int i = 0; i < 20; ++i) run_short_wave();
  serve();
  for (int i = 0; i < 5; ++i) run_short_wave();
  const uint32_t before = run_short_wave();
  CHECK_TRUE(before >= 51);
  leave();
  uint32_t least = before;
  for (int i = 0; i < 20; ++i) least = std::min(least, run_short_wave());
  // Of 40 workers 27 are left.
  CHECK_COMPARE(least, >=, before / 2);
}

TEST(shrinking_short_room, interrupted_tasks_get_all_without_short_jobs) {
  for (int i = 0; i < 20; ++i) run_short_wave();
  serve();
  pass(milliseconds(400));
  leave();
  pass(milliseconds(4'000));
  LONGS_EQUAL(places, long_running());
}

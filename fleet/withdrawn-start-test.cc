// Starts that are recorded and withdrawn before any answer carried them.
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>

#include "fleet/fleet-test-world.h"

using namespace kestrelreel;

namespace {

constexpr int workers = 40;
/// Workers that crash with the starts placed on them unsent.
constexpr int crashed = 13;
constexpr uint32_t long_running_tasks = 320;
constexpr uint64_t worker_cpu = 32'000;
constexpr uint64_t task_cpu = 4'000;
constexpr uint32_t wave_tasks = 64;
constexpr uint64_t long_running_job = 1;
constexpr uint64_t first_short_job = 100;

}  // namespace

TEST_GROUP(withdrawn_start) {
  test_world world;
  uint64_t short_jobs = 0;
  int first_live = 0;

  void add_workers() {
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
    for (int i = first_live; i < workers; ++i) world.beat(name(i));
  }
  void pass(milliseconds n) {
    constexpr milliseconds step{200};
    for (milliseconds at{0}; at < n; at += step) {
      world.pass(step);
      beat_all();
    }
  }
  /// One wave of short tasks, some 205 cores of demand; returns how many ran.
  uint32_t run_short_wave() {
    fleet::step_spec step = test_world::make_step(wave_tasks, task_cpu);
    step.set_estimate_ms(640);
    world.submit(first_short_job + ++short_jobs, {step});
    pass(milliseconds(800));
    uint32_t n = 0;
    for (int i = first_live; i < workers; ++i) {
      const auto rows = world.workers[name(i)].running();
      for (const auto& row : rows) {
        if (row.task().job() == long_running_job) continue;
        world.end(name(i), row.task(), row.run(), fleet::run_done);
        ++n;
      }
    }
    return n;
  }
  void submit_long_running() {
    fleet::step_spec step = test_world::make_step(long_running_tasks, task_cpu);
    step.set_long_running(true);
    step.set_target_ms(100);
    step.set_image("serving");
    world.submit(long_running_job, {step});
  }
  size_t recorded_on_crashed() {
    size_t n = 0;
    for (int i = 0; i < crashed; ++i)
      n += world.controller.book().runs_on(worker_id(name(i))).size();
    return n;
  }
  void prepare_waves() {
    world.configure(1, 99);
    add_workers();
    for (int i = 0; i < 20; ++i) run_short_wave();
    LONGS_EQUAL(wave_tasks, run_short_wave());
    pass(milliseconds(400));
  }
  /// Half of each wave runs on the 27 of 40 workers that are left.
  void check_waves() {
    for (int i = 0; i < 5; ++i) run_short_wave();
    LONGS_EQUAL(0, recorded_on_crashed());
    uint32_t least = wave_tasks;
    for (int i = 0; i < 10; ++i) least = std::min(least, run_short_wave());
    CHECK_COMPARE(least, >=, wave_tasks / 2);
  }
};

// Long-running tasks whose start was withdrawn counted as interrupted, though
// they had never begun, and took the capacity left to short jobs.
TEST(withdrawn_start, task_that_never_began_takes_the_share_of_short_jobs) {
  prepare_waves();
  submit_long_running();
  first_live = crashed;
  CHECK_TRUE(recorded_on_crashed() > 0);
  check_waves();
}

// The same workers are gone before the long-running tasks come.
TEST(withdrawn_start, new_task_leaves_the_share_of_short_jobs) {
  prepare_waves();
  first_live = crashed;
  for (int i = 0; i < 5; ++i) run_short_wave();
  submit_long_running();
  check_waves();
}

// The other members waited for the withdrawn one until they ended `alone`.
TEST(withdrawn_start, gang_waits_for_a_member_that_never_starts) {
  world.configure(1, 99);
  world.beat("a");
  world.beat("b");
  fleet::step_spec step = test_world::make_step(2, 4'000);
  step.set_gang(true);
  world.submit(1, {step});
  world.beat("b");
  LONGS_EQUAL(1, world.workers["b"].running_size());
  for (int i = 0; i < 5; ++i) {
    world.pass(milliseconds(200));
    LONGS_EQUAL(0, world.beat("b").starts_size());
  }
  LONGS_EQUAL(0, world.controller.book().runs_on(worker_id("a")).size());
  LONGS_EQUAL(1, world.beat("b").stops_size());
}

// The time that a start waits for its worker's call was counted from the
// commit, not from when the call is due.
TEST(withdrawn_start, start_is_withdrawn_before_the_call_of_its_worker_is_due) {
  controller_settings settings = test_world::make_settings();
  settings.busy_heartbeat_interval = milliseconds(1'200);
  settings.idle_heartbeat_interval = milliseconds(1'200);
  test_world slow(settings);
  slow.configure(1, 99);
  slow.beat("a");
  LONGS_EQUAL(1'200, slow.beat("a").next_beat_ms());
  fleet::step_spec step = test_world::make_step(1, 4'000);
  step.set_long_running(true);
  slow.submit(1, {step});
  slow.pass(milliseconds(1'100));
  LONGS_EQUAL(1, slow.controller.book().runs_on(worker_id("a")).size());
  slow.pass(milliseconds(100));
  const fleet::worker_orders orders = slow.beat("a");
  LONGS_EQUAL(1, orders.starts_size());
  LONGS_EQUAL(1, orders.starts(0).run());
}

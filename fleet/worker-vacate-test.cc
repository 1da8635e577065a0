// Runs on a worker that leaves in order, at the end of its remaining time.
//
// A batch task ended successfully on a draining worker and was started again on
// another one. The worker reported its remaining time in each heartbeat (4.5 s
// at first, 0.2 s in the last one), and the run ended 36 ms before the time was
// up. An end is listed 50 ms later at the earliest. The worker had left by
// then, so no control box received the end: after a last heartbeat without the
// end came the leave. The leader let all runs go on until the worker left; it
// can't tell a run that ended in the last moments from one that
// was cut off.
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>

#include "fleet/fleet-test-world.h"

using namespace kestrelreel;

namespace {

constexpr milliseconds step_time{20};
constexpr milliseconds end_report_delay{50};

/// A draining worker: calls when the last answer asked for it or 50 ms after an
/// end, and takes `stop` to stop a run.
class draining_worker {
 public:
  draining_worker(test_world& world, milliseconds notice, milliseconds stop)
      : world_(world), leaves_at_(world.clock.now() + notice), stop_(stop) {
    world_.workers["a"].set_draining(true);
    call();
  }

  bool is_running() const { return world_.clock.now() < leaves_at_; }
  milliseconds remaining() const { return leaves_at_ - world_.clock.now(); }
  int running() const { return world_.workers["a"].running_size(); }
  int unreported_ends() const { return unreported_ends_; }

  void step() {
    const time_point now = world_.clock.now();
    const auto stopping = stopping_;
    for (const auto& [run, ends] : stopping) {
      if (now >= ends) end(run, fleet::run_stopped);
    }
    if (now >= next_call_) call();
  }
  /// Ends the run with an outcome.
  void end(const run_key& run, fleet::run_outcome outcome) {
    world_.end("a", to_ref(run.task), static_cast<uint32_t>(run.run.value()),
               outcome, "saved");
    ++unreported_ends_;
    stopping_.erase(run);
    next_call_ = std::min(next_call_, world_.clock.now() + end_report_delay);
  }

 private:
  void call() {
    world_.workers["a"].set_remaining_ms(
        static_cast<uint64_t>(remaining().count()));
    unreported_ends_ = 0;
    const fleet::worker_orders orders = world_.beat("a");
    next_call_ = world_.clock.now() +
                 milliseconds(static_cast<int64_t>(orders.next_beat_ms()));
    for (const auto& it : orders.stops()) {
      const run_key run{to_key(it.task()), run_number(it.run())};
      stopping_.try_emplace(run, world_.clock.now() + stop_);
    }
  }

  test_world& world_;
  time_point leaves_at_;
  milliseconds stop_;
  time_point next_call_{};
  std::map<run_key, time_point> stopping_;
  int unreported_ends_ = 0;
};

/// Starts jobs of one task each on worker `a`.
void start_jobs(test_world& world, int jobs, bool long_running) {
  world.configure();
  for (int i = 1; i <= jobs; ++i) {
    fleet::step_spec step = test_world::make_step(1);
    step.set_estimate_ms(20'000);
    step.set_long_running(long_running);
    world.submit(static_cast<uint64_t>(i), {step});
  }
  world.beat("a");
  world.beat("a");
}

}  // namespace

TEST_GROUP(worker_vacate) { test_world world; };

TEST(worker_vacate, runs_or_unreported_ends_remain_when_worker_goes) {
  struct row {
    const char* name;
    milliseconds notice;
    milliseconds stop;
  };
  const row rows[] = {
      {"batch", milliseconds(4'500), milliseconds(200)},
      {"batch, slow stops", milliseconds(4'500), milliseconds(900)},
      {"short notice", milliseconds(2'000), milliseconds(900)},
      {"long notice", milliseconds(20'000), milliseconds(900)},
  };
  constexpr int jobs = 4;
  for (const row& it : rows) {
    world.~test_world();
    new (&world) test_world();
    start_jobs(world, jobs, false);
    LONGS_EQUAL_TEXT(jobs, world.workers["a"].running_size(), it.name);
    draining_worker worker(world, it.notice, it.stop);
    while (worker.is_running()) {
      world.clock.advance(step_time);
      worker.step();
      if (world.clock.now().count() % 100 == 0) world.controller.tick();
      world.commit();
    }
    LONGS_EQUAL_TEXT(0, worker.running(), it.name);
    LONGS_EQUAL_TEXT(0, worker.unreported_ends(), it.name);
    const auto& runs = world.controller.book().runs_on(worker_id("a"));
    LONGS_EQUAL_TEXT(0, runs.size(), it.name);
  }
}

// A leave whose acknowledgement is lost does not end its worker, so none of its
// tasks may wait for the leave. Users count the outage from the end of the run:
// the end is listed within 50 ms, and the next worker calls every 200 ms.
TEST(worker_vacate, long_running_tasks_stop_early_or_restart_late) {
  constexpr int jobs = 4;
  constexpr milliseconds earliest_stop{2'000};
  constexpr milliseconds max_outage{300};
  for (const milliseconds stop : {milliseconds(200), milliseconds(900)}) {
    world.~test_world();
    new (&world) test_world();
    start_jobs(world, jobs, true);
    world.beat("b");
    draining_worker worker(world, milliseconds(4'500), stop);
    milliseconds outage{0};
    while (worker.is_running()) {
      world.clock.advance(step_time);
      worker.step();
      const bool tick = world.clock.now().count() % 100 == 0;
      if (tick) world.controller.tick();
      world.commit();
      if (world.clock.now().count() % 200 == 0) world.beat("b");
      const int running = worker.running() + world.workers["b"].running_size();
      CHECK_TRUE(running <= jobs);
      if (worker.remaining() > earliest_stop) LONGS_EQUAL(jobs, running);
      outage = running < jobs ? outage + step_time : milliseconds(0);
      CHECK_TRUE(outage <= max_outage);
    }
    LONGS_EQUAL(jobs, world.workers["b"].running_size());
    fleet::fleet_request leave;
    leave.set_worker_leaves("a");
    world.ask(leave);
    world.pass(milliseconds(5'000));
    LONGS_EQUAL(0, world.beat("b").starts_size());
  }
}

TEST(worker_vacate, tasks_are_stopped_too_early) {
  start_jobs(world, 4, false);
  draining_worker worker(world, milliseconds(20'000), milliseconds(900));
  while (worker.remaining() > milliseconds(4'000)) {
    world.clock.advance(step_time);
    worker.step();
    world.commit();
  }
  LONGS_EQUAL(4, worker.running());
}

TEST(worker_vacate, successful_end_during_stop_is_repeated) {
  start_jobs(world, 1, false);
  const run_key run{{job_number(1), 0, 0, 0}, run_number(1)};
  draining_worker worker(world, milliseconds(2'000), milliseconds(900));
  bool ended = false;
  while (worker.is_running()) {
    world.clock.advance(step_time);
    if (!ended && worker.remaining() <= milliseconds(1'500)) {
      worker.end(run, fleet::run_done);
      ended = true;
    }
    worker.step();
    world.commit();
  }
  LONGS_EQUAL(fleet::job_succeeded, world.state(1).phase());
  LONGS_EQUAL(0, world.beat("b").starts_size());
}

TEST(worker_vacate, stopped_task_restarts_without_checkpoint) {
  start_jobs(world, 1, false);
  draining_worker worker(world, milliseconds(2'000), milliseconds(900));
  while (worker.is_running()) {
    world.clock.advance(step_time);
    worker.step();
    world.commit();
  }
  const fleet::worker_orders orders = world.beat("b");
  LONGS_EQUAL(1, orders.starts_size());
  LONGS_EQUAL(2, orders.starts(0).run());
  STRCMP_EQUAL("saved", orders.starts(0).saved().c_str());
}

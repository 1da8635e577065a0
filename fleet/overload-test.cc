// Order of jobs at the leader when not all can be in time.
#include <CppUTest/TestHarness.h>

#include "fleet/fleet-test-world.h"

using namespace kestrelreel;

namespace {

controller_settings settings_with(bool overload_order, bool learn) {
  controller_settings settings = test_world::make_settings();
  settings.decisions.overload_order = overload_order;
  settings.decisions.learn_run_times = learn;
  return settings;
}

constexpr milliseconds task_time{1'000};
/// Of jobs whose path is one task.
constexpr milliseconds objective{3'000};
constexpr const char* passed_over = "kestrelreel_jobs_passed_over_total";
constexpr const char* gone_first = "kestrelreel_jobs_gone_first_total";

/// Workers with four processors each, on which tasks take a second. No worker
/// has called yet when a test begins, but the leader could know them all.
struct overload_world : test_world {
  explicit overload_world(bool on = true, bool learn = false)
      : test_world(settings_with(on, learn)) {
    configure();
    pass(make_settings().leases.expiry_delay());
  }

  void end_what_is_done(const std::string& worker) {
    const auto rows = workers[worker].running();
    for (const auto& row : rows) {
      const run_key run{to_key(row.task()), run_number(row.run())};
      const auto begun = begun_.try_emplace(run, clock.now()).first->second;
      if (clock.now() - begun >= task_time)
        end(worker, row.task(), row.run(), fleet::run_done);
    }
  }

  /// Runs everything on these workers for `n`.
  void run(milliseconds n, const std::vector<std::string>& on = {"a"}) {
    for (milliseconds at{0}; at < n; at += milliseconds(100)) {
      for (const std::string& worker : on) {
        end_what_is_done(worker);
        beat(worker);
      }
      pass(milliseconds(100));
    }
  }

  void change_leader() {
    controller.set_leading(false);
    ++log.leader_term;
    controller.set_leading(true);
  }

  /// Adds a queue like the first one with a priority of its own.
  void add_queue(const std::string& name, uint32_t priority) {
    fleet::fleet_request request;
    fleet::fleet_config& config = *request.mutable_put_config();
    config = make_config(2);
    fleet::queue_route& queue = *config.add_queues();
    queue = config.queues(0);
    queue.set_name(name);
    queue.set_host(name + ".example");
    queue.set_priority(priority);
    ask(request);
  }

  fleet::fleet_status submit_to(const std::string& queue, uint64_t job,
                                const fleet::step_spec& step) {
    fleet::fleet_request request = make_submit(job, {step});
    request.mutable_job()->set_host(queue + ".example:80");
    return ask(request).status();
  }

  bool is_done(uint64_t job) {
    const job_entry* it = controller.book().find(job_number(job));
    return it != nullptr && it->phase == fleet::job_succeeded;
  }

  unsigned count_done(uint64_t first, uint64_t last) {
    unsigned n = 0;
    for (uint64_t job = first; job <= last; ++job) n += is_done(job);
    return n;
  }

  uint64_t count(const char* metric) { return metrics.counter(metric); }

  std::map<run_key, time_point> begun_;
};

fleet::step_spec step_of(uint32_t count, uint64_t estimate_ms) {
  fleet::step_spec step = test_world::make_step(count);
  step.set_estimate_ms(estimate_ms);
  return step;
}

fleet::step_spec backfill_step(uint32_t count) {
  fleet::step_spec step = test_world::make_step(count);
  step.set_fills(true);
  return step;
}

/// A wide job of 8 core-seconds, then six of 2: all are due in 3 s, in which 12
/// core-seconds can be done.
void submit_overload(test_world& world) {
  world.submit(1, {test_world::make_step(8)});
  for (uint64_t job = 2; job <= 7; ++job)
    world.submit(job, {test_world::make_step(2)});
}

}  // namespace

TEST_GROUP(fleet_overload){};

TEST(fleet_overload, more_jobs_are_in_time_than_by_deadline_alone) {
  unsigned in_time[2];
  for (const bool on : {false, true}) {
    overload_world world(on);
    submit_overload(world);
    world.run(objective);
    in_time[on] = world.count_done(1, 7);
    CHECK_EQUAL(on, world.count(passed_over) > 0);
  }
  CHECK_TRUE(in_time[true] > in_time[false]);
}

TEST(fleet_overload, load_that_fits_is_served_by_deadline) {
  for (const bool on : {false, true}) {
    overload_world world(on);
    world.submit(1, {test_world::make_step(4)});
    world.submit(2, {test_world::make_step(2)});
    world.run(milliseconds(1'200));
    CHECK_TRUE(world.is_done(1));
    world.run(objective - milliseconds(1'200));
    CHECK_TRUE(world.is_done(2));
    LONGS_EQUAL(0, world.count(passed_over));
  }
}

// Tasks that run keep their processors: only what waits can give way.
TEST(fleet_overload, work_that_runs_gives_way_to_nobody) {
  overload_world world;
  job_progress& progress = world.controller.progress();
  world.submit(1, {test_world::make_step(6)});
  DOUBLES_EQUAL(6, progress.waiting_work(job_number(1)), 0.01);
  world.run(milliseconds(400));
  DOUBLES_EQUAL(2, progress.waiting_work(job_number(1)), 0.01);
  DOUBLES_EQUAL(6, progress.remaining_work(job_number(1)), 0.01);
}

TEST(fleet_overload, what_is_left_of_runs_is_work_ahead) {
  constexpr uint32_t percents[] = {0, 90};
  for (const uint32_t percent : percents) {
    overload_world world(true, true);
    world.submit(1, {test_world::make_step(4)});
    world.run(milliseconds(300));
    auto& rows = *world.workers["a"].mutable_running();
    LONGS_EQUAL(4, rows.size());
    for (fleet::running_row& row : rows) row.set_percent(percent);
    world.run(milliseconds(300));
    world.submit(2, {test_world::make_step(8)});
    world.run(milliseconds(400));
    CHECK_EQUAL(percent == 0, world.count(passed_over) > 0);
  }
}

// Tasks take three times their declared time: by that a waiting job seems late
// when it can still be in time.
TEST(fleet_overload, jobs_are_tried_by_learned_times) {
  constexpr uint64_t learning_jobs = 6;
  for (const bool on : {false, true}) {
    overload_world world(on, true);
    const auto beat_for = [&](milliseconds n) {
      for (milliseconds at{0}; at < n; at += milliseconds(100)) {
        world.beat("a");
        world.pass(milliseconds(100));
      }
    };
    const auto end_all = [&] {
      const auto rows = world.workers["a"].running();
      for (const auto& row : rows)
        world.end("a", row.task(), row.run(), fleet::run_done);
      return world.beat("a");
    };
    for (uint64_t job = 1; job <= learning_jobs; ++job) {
      world.submit(job, {test_world::make_step(4)});
      beat_for(3 * task_time);
      end_all();
    }
    world.submit(100, {test_world::make_step(4)});
    beat_for(milliseconds(200));
    for (auto& row : *world.workers["a"].mutable_running()) row.set_percent(90);
    world.submit(101, {test_world::make_step(4)});
    beat_for(milliseconds(2'500));
    world.submit(102, {test_world::make_step(4)});
    const fleet::worker_orders orders = end_all();
    CHECK_TRUE(orders.starts_size() > 0);
    LONGS_EQUAL(on ? 101 : 102, orders.starts(0).task().job());
  }
}

// Small jobs for all processors keep coming: the large one ends while its end
// is of use, within three times its objective.
TEST(fleet_overload, passed_over_jobs_end) {
  constexpr milliseconds pause{500};
  overload_world world;
  submit_overload(world);
  uint64_t job = 8;
  for (milliseconds at{0}; at < 3 * objective; at += pause) {
    world.submit(job++, {test_world::make_step(2)});
    world.run(pause);
    if (at < objective) CHECK_TRUE(world.count(gone_first) == 0);
  }
  CHECK_TRUE(world.count(passed_over) > 0);
  CHECK_TRUE(world.count(gone_first) > 0);
  CHECK_TRUE(world.is_done(1));
}

// Four large jobs give way; each takes 2 s, so that one after another they
// could not all return while of use.
TEST(fleet_overload, jobs_that_gave_way_return_one_at_a_time) {
  constexpr milliseconds pause{500};
  constexpr uint64_t large = 4;
  overload_world world;
  for (uint64_t job = 1; job <= large; ++job)
    world.submit(job, {test_world::make_step(8)});
  uint64_t job = large + 1;
  for (milliseconds at{0}; at < 2 * objective + task_time; at += pause) {
    world.submit(job++, {test_world::make_step(4)});
    world.run(pause);
  }
  CHECK_TRUE(world.count(passed_over) >= large - 1);
  LONGS_EQUAL(1, world.count(gone_first));
}

// The work of the first job takes 8 s: from 6 s on it could no longer end
// within 9 s.
TEST(fleet_overload, job_whose_end_is_of_no_use_does_not_return) {
  constexpr milliseconds pause{500};
  overload_world world;
  world.submit(1, {test_world::make_step(32)});
  world.run(pause);
  uint64_t job = 2;
  for (milliseconds at = pause; at < 2 * objective; at += pause) {
    world.submit(job++, {test_world::make_step(4)});
    world.run(pause);
  }
  world.run(milliseconds(400));
  CHECK_TRUE(world.count(passed_over) > 0);
  LONGS_EQUAL(0, world.count(gone_first));
}

TEST(fleet_overload, new_leader_serves_all_jobs) {
  overload_world world;
  submit_overload(world);
  world.run(milliseconds(300));
  CHECK_TRUE(world.count(passed_over) > 0);
  world.change_leader();
  world.run(milliseconds(8'000));
  LONGS_EQUAL(7, world.count_done(1, 7));
}

// With one of three workers known, a third of the processors would be expected.
TEST(fleet_overload, workers_that_call_one_by_one_pass_over_nobody) {
  overload_world world;
  world.run(milliseconds(300), {"a", "b", "c"});
  for (uint64_t job = 1; job <= 3; ++job)
    world.submit(job, {test_world::make_step(8)});
  world.change_leader();
  world.run(milliseconds(500));
  world.run(milliseconds(500), {"a", "b"});
  world.run(milliseconds(2'000), {"a", "b", "c"});
  LONGS_EQUAL(0, world.count(passed_over));
}

TEST(fleet_overload, new_leader_forgets_who_gave_way) {
  overload_world world;
  submit_overload(world);
  world.run(milliseconds(300));
  const uint64_t before = world.count(passed_over);
  CHECK_TRUE(before > 0);
  world.change_leader();
  // What runs does not end, so that the large job waits all the time.
  for (milliseconds at{0}; at < 3 * objective; at += milliseconds(100)) {
    world.beat("a");
    world.pass(milliseconds(100));
  }
  LONGS_EQUAL(before, world.count(passed_over));
  LONGS_EQUAL(0, world.count(gone_first));
}

TEST(fleet_overload, lost_workers_leave_no_job_behind) {
  overload_world world;
  world.submit(1, {test_world::make_step(8)});
  world.submit(2, {test_world::make_step(4)});
  world.run(milliseconds(300));
  world.workers["a"].clear_running();
  world.pass(milliseconds(8'000));
  world.run(milliseconds(8'000));
  CHECK_TRUE(world.is_done(1));
  CHECK_TRUE(world.is_done(2));
}

// A less urgent job that would fit alone gives way to a small one of its kind
// if a more urgent job takes the rest.
TEST(fleet_overload, more_urgent_work_counts_for_the_less_urgent) {
  for (const bool with_urgent : {false, true}) {
    overload_world world;
    world.add_queue("later", 1);
    if (with_urgent) world.submit(1, {test_world::make_step(6)});
    LONGS_EQUAL(fleet::fleet_ok,
                world.submit_to("later", 2, test_world::make_step(8)));
    world.submit_to("later", 3, test_world::make_step(2));
    world.run(milliseconds(400));
    LONGS_EQUAL(with_urgent ? 1 : 0, world.count(passed_over));
  }
}

TEST(fleet_overload, backfill_jobs_compete_among_themselves) {
  for (const bool overload : {false, true}) {
    overload_world world;
    world.submit(1, {backfill_step(8)});
    const uint64_t last = overload ? 7 : 2;
    for (uint64_t job = 2; job <= last; ++job)
      world.submit(job, {backfill_step(2)});
    world.run(milliseconds(400));
    CHECK_EQUAL(overload, world.count(passed_over) > 0);
  }
}

TEST(fleet_overload, wrong_estimates_keep_others_in_time) {
  constexpr uint64_t hours_ms = 3 * 3'600'000;
  overload_world world;
  world.submit(1, {step_of(16, hours_ms)});
  world.submit(2, {step_of(2, 0)});
  world.submit(3, {step_of(2, 1'000)});
  world.run(objective);
  LONGS_EQUAL(2, world.count_done(2, 3));
  LONGS_EQUAL(1, world.count(passed_over));
}

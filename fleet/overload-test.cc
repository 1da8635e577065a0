// Order of jobs at the leader when not all can be in time.
#include <CppUTest/TestHarness.h>

#include <set>

#include "fleet/fleet-test-world.h"

using namespace kestrelreel;

namespace {

controller_settings settings_with(bool overload_order) {
  controller_settings settings = test_world::make_settings();
  settings.decisions.overload_order = overload_order;
  return settings;
}

/// One worker with four processors, on which tasks take a second each.
struct overload_world : test_world {
  explicit overload_world(bool on) : test_world(settings_with(on)) {
    configure();
    beat("a");
  }

  /// Runs everything for `n`, with each task ended a second after its start.
  void run(milliseconds n) {
    for (milliseconds at{0}; at < n; at += milliseconds(100)) {
      const auto rows = workers["a"].running();
      for (const auto& row : rows) {
        const run_key run{to_key(row.task()), run_number(row.run())};
        const auto begun = begun_.try_emplace(run, clock.now()).first->second;
        if (clock.now() - begun >= milliseconds(1'000))
          end("a", row.task(), row.run(), fleet::run_done);
      }
      beat("a");
      pass(milliseconds(100));
    }
  }

  bool is_done(uint64_t job) {
    const job_entry* it = controller.book().find(job_number(job));
    return it != nullptr && it->phase == fleet::job_succeeded;
  }

  std::map<run_key, time_point> begun_;
};

/// A wide job of 8 core-seconds, then six of 4: all are due in 3 s, in which 12
/// core-seconds can be done. Returns how many end in time.
unsigned in_time(bool on) {
  overload_world world(on);
  world.submit(1, {test_world::make_step(8)});
  for (uint64_t job = 2; job <= 7; ++job)
    world.submit(job, {test_world::make_step(2)});
  world.run(milliseconds(3'300));
  unsigned n = 0;
  for (uint64_t job = 1; job <= 7; ++job) n += world.is_done(job);
  return n;
}

}  // namespace

TEST_GROUP(fleet_overload){};

TEST(fleet_overload, more_jobs_are_in_time_than_by_deadline_alone) {
  CHECK_TRUE(in_time(true) > in_time(false));
}

TEST(fleet_overload, load_that_fits_is_served_by_deadline) {
  for (const bool on : {false, true}) {
    overload_world world(on);
    world.submit(1, {test_world::make_step(4)});
    world.submit(2, {test_world::make_step(2)});
    world.run(milliseconds(1'300));
    CHECK_TRUE(world.is_done(1));
  }
}

// Small jobs for all processors keep coming: the large one ends while its end
// is of use, within three times its objective of 3 s.
TEST(fleet_overload, passed_over_jobs_end) {
  overload_world world(true);
  world.submit(1, {test_world::make_step(8)});
  for (uint64_t job = 2; job <= 19; ++job) {
    world.submit(job, {test_world::make_step(2)});
    world.run(milliseconds(500));
  }
  CHECK_TRUE(world.is_done(1));
}

TEST(fleet_overload, new_leader_serves_all_jobs) {
  overload_world world(true);
  world.submit(1, {test_world::make_step(8)});
  for (uint64_t job = 2; job <= 5; ++job)
    world.submit(job, {test_world::make_step(2)});
  world.run(milliseconds(300));
  world.controller.set_leading(false);
  ++world.log.leader_term;
  world.controller.set_leading(true);
  world.run(milliseconds(8'000));
  for (uint64_t job = 1; job <= 5; ++job) CHECK_TRUE(world.is_done(job));
}

TEST(fleet_overload, lost_workers_leave_no_job_behind) {
  overload_world world(true);
  world.submit(1, {test_world::make_step(8)});
  world.submit(2, {test_world::make_step(4)});
  world.run(milliseconds(300));
  world.workers["a"].clear_running();
  world.pass(milliseconds(8'000));
  world.run(milliseconds(8'000));
  CHECK_TRUE(world.is_done(1));
  CHECK_TRUE(world.is_done(2));
}

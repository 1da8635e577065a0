// Guards against a task that crashes every worker and is started again forever.
#include <CppUTest/TestHarness.h>

#include "fleet/crashing-test-world.h"

using namespace kestrelreel;
using crashing::crash_settings;
using crashing::crash_world;
using crashing::crashing_job;
using crashing::heartbeat_route;
using crashing::is_crashing;
using crashing::long_running_job;
using crashing::max_late_starts;
using crashing::quiet_period;
using crashing::run_time_limit;

namespace {

/// Workers that one crashing task may crash without other faults.
constexpr int max_crashes = 3;

fleet::step_spec make_crashing(const char* kind) {
  const std::string name = kind;
  fleet::step_spec step = crash_world::make_step(3, name == "long-running");
  step.set_gang(name == "gang");
  step.set_fills(name == "backfill");
  return step;
}

struct row {
  const char* name;
  const char* kind;
  crash_settings settings;
  int max_crashed;
};

std::vector<row> rows() {
  std::vector<row> out;
  const auto add = [&](const char* name, const char* kind,
                       int max_crashed) -> auto& {
    out.push_back({name, kind, {}, max_crashed});
    return out.back().settings;
  };
  add("short", "short", max_crashes);
  add("long-running", "long-running", max_crashes);
  add("gang", "gang", max_crashes);
  add("backfill", "backfill", max_crashes);
  add("same id", "short", max_crashes).keeps_id = true;
  add("long-running, same id", "long-running", max_crashes).keeps_id = true;
  add("through another box", "long-running", max_crashes).route =
      heartbeat_route::intake;
  add("listed once before the crash", "short", max_crashes).crash_delay =
      milliseconds(300);
  add("returns after its lease", "short", max_crashes + 1).restart_delay =
      milliseconds(9'000);
  add("returns after its lease, long-running", "long-running", max_crashes + 1)
      .restart_delay = milliseconds(9'000);
  add("saved and loaded", "short", max_crashes).reloads = true;
  add("leader changes after a crash", "short", max_crashes + 2)
      .leader_change_delay = milliseconds(1'000);
  add("leader changes later", "long-running", max_crashes + 2)
      .leader_change_delay = milliseconds(4'700);
  constexpr int tolerated = max_crashes + max_late_starts;
  add("gang, same id", "gang", tolerated).keeps_id = true;
  add("gang, through another box", "gang", tolerated).route =
      heartbeat_route::intake;
  add("gang, two members on one worker", "gang", tolerated).workers = 2;
  add("gang, listed once before the crash", "gang", tolerated).crash_delay =
      milliseconds(300);
  add("gang, returns after its lease", "gang", tolerated).restart_delay =
      milliseconds(9'000);
  add("gang, saved and loaded", "gang", tolerated).reloads = true;
  add("gang, leader changes after a crash", "gang", tolerated)
      .leader_change_delay = milliseconds(1'000);
  add("gang, leader changes later", "gang", tolerated).leader_change_delay =
      milliseconds(4'700);
  return out;
}

}  // namespace

TEST_GROUP(crashing_task){};

TEST(crashing_task, is_not_restarted_and_its_job_fails) {
  for (const row& it : rows()) {
    crash_world world(it.settings);
    world.crashes = is_crashing;
    world.run_for(milliseconds(1'000));
    world.submit(crashing_job, {make_crashing(it.kind)});
    world.run_until(crashing_job, fleet::job_failed, run_time_limit);
    LONGS_EQUAL_TEXT(fleet::job_failed, world.phase_of(crashing_job), it.name);
    world.run_for(quiet_period);
    CHECK_TRUE_TEXT(world.crashed <= it.max_crashed, it.name);
    CHECK_TRUE_TEXT(world.late_starts <= max_late_starts, it.name);
    LONGS_EQUAL_TEXT(0, world.runs_of(crashing_job), it.name);
  }
}

TEST(crashing_task, harmless_tasks_beside_it_succeed) {
  constexpr uint64_t first = 100;
  constexpr uint64_t jobs = 40;
  for (const row& it : rows()) {
    crash_world world(it.settings);
    world.crashes = is_crashing;
    world.submit(long_running_job, {crash_world::make_step(6, true)});
    world.run_for(milliseconds(1'000));
    for (uint64_t n = 0; n < jobs; ++n) {
      if (n == 3) world.submit(crashing_job, {make_crashing(it.kind)});
      world.submit(first + n, {crash_world::make_step(2)});
      world.run_for(milliseconds(400));
    }
    world.run_until(crashing_job, fleet::job_failed, run_time_limit);
    world.run_for(quiet_period);
    for (uint64_t n = 0; n < jobs; ++n) {
      LONGS_EQUAL_TEXT(fleet::job_succeeded, world.phase_of(first + n),
                       it.name);
    }
    LONGS_EQUAL_TEXT(fleet::job_running, world.phase_of(long_running_job),
                     it.name);
    LONGS_EQUAL_TEXT(6, world.runs_of(long_running_job), it.name);
    LONGS_EQUAL_TEXT(fleet::job_failed, world.phase_of(crashing_job), it.name);
  }
}

// A crash empties a worker, which then gets the pending tasks. Tasks lost in
// one crash must not be placed on a worker with the crashing task again.
TEST(crashing_task, tasks_lost_in_a_crash_are_not_lost_again) {
  constexpr uint64_t first = 100;
  constexpr uint64_t jobs = 47;
  crash_settings settings;
  settings.workers = 6;
  settings.restart_delay = milliseconds(3'000);
  crash_world world(settings);
  world.crashes = is_crashing;
  world.run_for(milliseconds(1'000));
  world.submit(crashing_job, {crash_world::make_step(1)});
  for (uint64_t n = 0; n < jobs; ++n) {
    world.submit(first + n, {crash_world::make_step(1)});
  }
  world.run_until(crashing_job, fleet::job_failed, run_time_limit);
  LONGS_EQUAL(fleet::job_failed, world.phase_of(crashing_job));
  int restarted_tasks = 0;
  for (uint64_t n = 0; n < jobs; ++n) {
    const int starts = world.starts[{job_number(first + n), 0, 0, 0}];
    CHECK_TRUE(starts <= 2);
    restarted_tasks += starts - 1;
    LONGS_EQUAL(fleet::job_succeeded, world.phase_of(first + n));
  }
  CHECK_TRUE(restarted_tasks > 0);
}

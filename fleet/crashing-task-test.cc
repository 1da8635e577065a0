// A task that crashes each worker that starts it was started again without end.
#include <CppUTest/TestHarness.h>

#include "fleet/crashing-test-world.h"

using namespace kestrelreel;
using crashing::bad_job;
using crashing::calm;
using crashing::crash_settings;
using crashing::crash_world;
using crashing::is_bad;
using crashing::long_enough;
using crashing::most_late_starts;
using crashing::road;
using crashing::serving_job;

namespace {

/// Workers that one bad task may cost when nothing else happens.
constexpr int most_crashes = 3;

fleet::step_spec make_bad(const char* kind) {
  const std::string name = kind;
  fleet::step_spec step = crash_world::make_step(3, name == "lasting");
  step.set_gang(name == "gang");
  step.set_fills(name == "fill");
  return step;
}

struct row {
  const char* name;
  const char* kind;
  crash_settings settings;
  int most;
};

std::vector<row> rows() {
  std::vector<row> out;
  const auto add = [&](const char* name, const char* kind, int most) -> auto& {
    out.push_back({name, kind, {}, most});
    return out.back().settings;
  };
  add("short", "short", most_crashes);
  add("lasting", "lasting", most_crashes);
  add("gang", "gang", most_crashes);
  add("fill", "fill", most_crashes);
  add("under its id", "short", most_crashes).keeps_id = true;
  add("lasting, under its id", "lasting", most_crashes).keeps_id = true;
  add("through another box", "lasting", most_crashes).calls_by = road::intake;
  add("seen once before", "short", most_crashes).crashes_after =
      milliseconds(300);
  add("back after its lease", "short", most_crashes + 1).returns_after =
      milliseconds(9'000);
  add("back after its lease, lasting", "lasting", most_crashes + 1)
      .returns_after = milliseconds(9'000);
  add("saved and loaded", "short", most_crashes).reloads = true;
  add("leader changes after a crash", "short", most_crashes + 2)
      .leader_changes_after = milliseconds(1'000);
  add("leader changes late", "lasting", most_crashes + 2).leader_changes_after =
      milliseconds(4'700);
  return out;
}

}  // namespace

TEST_GROUP(crashing_task){};

TEST(crashing_task, is_given_up_and_its_job_fails) {
  for (const row& it : rows()) {
    crash_world world(it.settings);
    world.crashes = is_bad;
    world.play(milliseconds(1'000));
    world.submit(bad_job, {make_bad(it.kind)});
    world.play_until(bad_job, fleet::job_failed, long_enough);
    LONGS_EQUAL_TEXT(fleet::job_failed, world.phase_of(bad_job), it.name);
    world.play(calm);
    CHECK_TRUE_TEXT(world.crashed <= it.most, it.name);
    CHECK_TRUE_TEXT(world.late_starts <= most_late_starts, it.name);
    LONGS_EQUAL_TEXT(0, world.runs_of(bad_job), it.name);
  }
}

TEST(crashing_task, innocent_tasks_beside_it_are_done) {
  constexpr uint64_t first = 100;
  constexpr uint64_t jobs = 40;
  for (const row& it : rows()) {
    crash_world world(it.settings);
    world.crashes = is_bad;
    world.submit(serving_job, {crash_world::make_step(6, true)});
    world.play(milliseconds(1'000));
    for (uint64_t n = 0; n < jobs; ++n) {
      if (n == 3) world.submit(bad_job, {make_bad(it.kind)});
      world.submit(first + n, {crash_world::make_step(2)});
      world.play(milliseconds(400));
    }
    world.play_until(bad_job, fleet::job_failed, long_enough);
    world.play(calm);
    for (uint64_t n = 0; n < jobs; ++n) {
      LONGS_EQUAL_TEXT(fleet::job_succeeded, world.phase_of(first + n),
                       it.name);
    }
    LONGS_EQUAL_TEXT(fleet::job_running, world.phase_of(serving_job), it.name);
    LONGS_EQUAL_TEXT(6, world.runs_of(serving_job), it.name);
    LONGS_EQUAL_TEXT(fleet::job_failed, world.phase_of(bad_job), it.name);
  }
}

// A crash empties a worker, which then draws what waits: its victims.
TEST(crashing_task, victims_of_one_crash_do_not_start_beside_the_cause_again) {
  constexpr uint64_t first = 100;
  constexpr uint64_t jobs = 47;
  crash_settings settings;
  settings.workers = 6;
  settings.returns_after = milliseconds(3'000);
  crash_world world(settings);
  world.crashes = is_bad;
  world.play(milliseconds(1'000));
  world.submit(bad_job, {crash_world::make_step(1)});
  for (uint64_t n = 0; n < jobs; ++n) {
    world.submit(first + n, {crash_world::make_step(1)});
  }
  world.play_until(bad_job, fleet::job_failed, long_enough);
  LONGS_EQUAL(fleet::job_failed, world.phase_of(bad_job));
  int victims = 0;
  for (uint64_t n = 0; n < jobs; ++n) {
    const int starts = world.starts[{job_number(first + n), 0, 0, 0}];
    CHECK_TRUE(starts <= 2);
    victims += starts - 1;
    LONGS_EQUAL(fleet::job_succeeded, world.phase_of(first + n));
  }
  CHECK_TRUE(victims > 0);
}

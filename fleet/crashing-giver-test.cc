// The box that ordered a crashing task's start is gone before it sees the
// crash: the next leader never heard the worker.
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

constexpr uint64_t first_job = 100;
constexpr uint64_t jobs = 40;

struct row {
  const char* name;
  bool lasts;
  crash_settings settings;
};

crash_settings dying(int givers, int64_t after_ms, int64_t crashes_after_ms) {
  crash_settings out;
  out.givers_that_die = givers;
  out.giver_dies_after = milliseconds(after_ms);
  out.crashes_after = milliseconds(crashes_after_ms);
  return out;
}

std::vector<row> rows() {
  std::vector<row> out = {
      {"dies with the worker", false, dying(1, 10, 10)},
      {"dies before the crash", false, dying(1, 10, 300)},
      {"dies before the crash, lasting", true, dying(1, 10, 300)},
      {"dies while the worker is silent", false, dying(1, 1'000, 10)},
      {"dies as the worker is back", false, dying(1, 4'000, 300)},
      {"twice", false, dying(2, 10, 10)},
      {"thrice", false, dying(3, 10, 10)},
      {"thrice, lasting", true, dying(3, 10, 10)},
      {"thrice before the crash", false, dying(3, 10, 300)},
      {"thrice while the worker is silent", false, dying(3, 1'000, 300)},
      {"four times", false, dying(4, 10, 10)},
      {"with each start", false, dying(9, 10, 10)},
      {"with each start, lasting", true, dying(9, 10, 10)},
      {"with each start, before the crash", false, dying(9, 10, 300)},
      {"at once with each start", false, dying(9, 0, 10)},
      {"at once with each start, lasting", true, dying(9, 0, 10)},
      {"at once with each start, before the crash", false, dying(9, 0, 300)},
      {"after each start is recorded", false, dying(9, 400, 10)},
      {"while each worker is silent", false, dying(9, 1'000, 10)},
      {"as each worker is back", false, dying(9, 4'000, 10)},
  };
  const auto add = [&](const char* name) -> auto& {
    out.push_back({name, false, dying(3, 10, 10)});
    return out.back().settings;
  };
  add("through another box").calls_by = road::intake;
  add("under its id").keeps_id = true;
  add("saved and loaded").reloads = true;
  add("back after its lease").returns_after = milliseconds(9'000);
  return out;
}

}  // namespace

TEST_GROUP(crashing_giver){};

TEST(crashing_giver, task_is_given_up_within_its_budget_and_no_other_is) {
  for (const row& it : rows()) {
    crash_world world(it.settings);
    world.crashes = is_bad;
    world.submit(serving_job, {crash_world::make_step(6, true)});
    world.play(milliseconds(1'000));
    for (uint64_t n = 0; n < jobs; ++n) {
      if (n == 3) world.submit(bad_job, {crash_world::make_step(3, it.lasts)});
      world.submit(first_job + n, {crash_world::make_step(2)});
      world.play(milliseconds(400));
    }
    world.play_until(bad_job, fleet::job_failed, long_enough);
    world.play(calm);
    LONGS_EQUAL_TEXT(fleet::job_failed, world.phase_of(bad_job), it.name);
    CHECK_TRUE_TEXT(world.late_starts <= most_late_starts, it.name);
    for (uint64_t n = 0; n < jobs; ++n) {
      LONGS_EQUAL_TEXT(fleet::job_succeeded, world.phase_of(first_job + n),
                       it.name);
    }
    LONGS_EQUAL_TEXT(fleet::job_running, world.phase_of(serving_job), it.name);
    LONGS_EQUAL_TEXT(6, world.runs_of(serving_job), it.name);
    CHECK_TRUE_TEXT(world.all.book().suspects().empty(), it.name);
  }
}

// The box that ordered a crashing task's start is gone before it sees the
// crash: the next leader never heard the worker.
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

constexpr uint64_t first_job = 100;
constexpr uint64_t jobs = 40;

struct row {
  const char* name;
  bool is_long_running;
  crash_settings settings;
};

crash_settings make_issuer_failures(int givers, int64_t after_ms,
                                    int64_t crashes_after_ms) {
  crash_settings out;
  out.failing_issuers = givers;
  out.issuer_failure_delay = milliseconds(after_ms);
  out.crash_delay = milliseconds(crashes_after_ms);
  return out;
}

std::vector<row> rows() {
  std::vector<row> out = {
      {"dies with the worker", false, make_issuer_failures(1, 10, 10)},
      {"dies before the crash", false, make_issuer_failures(1, 10, 300)},
      {"dies before the crash, lasting", true,
       make_issuer_failures(1, 10, 300)},
      {"dies while the worker is silent", false,
       make_issuer_failures(1, 1'000, 10)},
      {"dies as the worker is back", false,
       make_issuer_failures(1, 4'000, 300)},
      {"twice", false, make_issuer_failures(2, 10, 10)},
      {"thrice", false, make_issuer_failures(3, 10, 10)},
      {"thrice, lasting", true, make_issuer_failures(3, 10, 10)},
      {"thrice before the crash", false, make_issuer_failures(3, 10, 300)},
      {"thrice while the worker is silent", false,
       make_issuer_failures(3, 1'000, 300)},
      {"four times", false, make_issuer_failures(4, 10, 10)},
      {"with each start", false, make_issuer_failures(9, 10, 10)},
      {"with each start, lasting", true, make_issuer_failures(9, 10, 10)},
      {"with each start, before the crash", false,
       make_issuer_failures(9, 10, 300)},
      {"at once with each start", false, make_issuer_failures(9, 0, 10)},
      {"at once with each start, lasting", true,
       make_issuer_failures(9, 0, 10)},
      {"at once with each start, before the crash", false,
       make_issuer_failures(9, 0, 300)},
      {"after each start is recorded", false, make_issuer_failures(9, 400, 10)},
      {"while each worker is silent", false,
       make_issuer_failures(9, 1'000, 10)},
      {"as each worker is back", false, make_issuer_failures(9, 4'000, 10)},
  };
  const auto add = [&](const char* name) -> auto& {
    out.push_back({name, false, make_issuer_failures(3, 10, 10)});
    return out.back().settings;
  };
  add("through another box").route = heartbeat_route::intake;
  add("under its id").keeps_id = true;
  add("saved and loaded").reloads = true;
  add("back after its lease").restart_delay = milliseconds(9'000);
  return out;
}

}  // namespace

TEST_GROUP(crashing_giver){};

TEST(crashing_giver, task_is_given_up_within_its_budget_and_no_other_is) {
  for (const row& it : rows()) {
    crash_world world(it.settings);
    world.crashes = is_crashing;
    world.submit(long_running_job, {crash_world::make_step(6, true)});
    world.run_for(milliseconds(1'000));
    for (uint64_t n = 0; n < jobs; ++n) {
      if (n == 3)
        world.submit(crashing_job,
                     {crash_world::make_step(3, it.is_long_running)});
      world.submit(first_job + n, {crash_world::make_step(2)});
      world.run_for(milliseconds(400));
    }
    world.run_until(crashing_job, fleet::job_failed, run_time_limit);
    world.run_for(quiet_period);
    LONGS_EQUAL_TEXT(fleet::job_failed, world.phase_of(crashing_job), it.name);
    CHECK_TRUE_TEXT(world.late_starts <= max_late_starts, it.name);
    for (uint64_t n = 0; n < jobs; ++n) {
      LONGS_EQUAL_TEXT(fleet::job_succeeded, world.phase_of(first_job + n),
                       it.name);
    }
    LONGS_EQUAL_TEXT(fleet::job_running, world.phase_of(long_running_job),
                     it.name);
    LONGS_EQUAL_TEXT(6, world.runs_of(long_running_job), it.name);
    CHECK_TRUE_TEXT(world.all.book().suspects().empty(), it.name);
  }
}

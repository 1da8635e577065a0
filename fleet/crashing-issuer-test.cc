// The leader that ordered the start of a crashing task fails before it sees the
// crash, and the next leader has never heard from the worker.
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
  bool is_gang = false;
};

crash_settings make_issuer_failures(int leaders, int64_t after_ms,
                                    int64_t crashes_after_ms) {
  crash_settings out;
  out.failing_issuers = leaders;
  out.issuer_failure_delay = milliseconds(after_ms);
  out.crash_delay = milliseconds(crashes_after_ms);
  return out;
}

std::vector<row> rows() {
  std::vector<row> out = {
      {"fails with the worker", false, make_issuer_failures(1, 10, 10)},
      {"fails before the crash", false, make_issuer_failures(1, 10, 300)},
      {"fails before the crash, long-running", true,
       make_issuer_failures(1, 10, 300)},
      {"fails while the worker is silent", false,
       make_issuer_failures(1, 1'000, 10)},
      {"fails as the worker returns", false,
       make_issuer_failures(1, 4'000, 300)},
      {"two leaders", false, make_issuer_failures(2, 10, 10)},
      {"three leaders", false, make_issuer_failures(3, 10, 10)},
      {"three leaders, long-running", true, make_issuer_failures(3, 10, 10)},
      {"three leaders before the crash", false,
       make_issuer_failures(3, 10, 300)},
      {"three leaders while the worker is silent", false,
       make_issuer_failures(3, 1'000, 300)},
      {"four leaders", false, make_issuer_failures(4, 10, 10)},
      {"with each start", false, make_issuer_failures(9, 10, 10)},
      {"with each start, long-running", true, make_issuer_failures(9, 10, 10)},
      {"with each start, before the crash", false,
       make_issuer_failures(9, 10, 300)},
      {"at once with each start", false, make_issuer_failures(9, 0, 10)},
      {"at once with each start, long-running", true,
       make_issuer_failures(9, 0, 10)},
      {"at once with each start, before the crash", false,
       make_issuer_failures(9, 0, 300)},
      {"after each start is committed", false,
       make_issuer_failures(9, 400, 10)},
      {"while each worker is silent", false,
       make_issuer_failures(9, 1'000, 10)},
      {"as each worker returns", false, make_issuer_failures(9, 4'000, 10)},
  };
  const auto add = [&](const char* name) -> auto& {
    out.push_back({name, false, make_issuer_failures(3, 10, 10)});
    return out.back().settings;
  };
  add("through another box").route = heartbeat_route::intake;
  add("same id").keeps_id = true;
  add("saved and loaded").reloads = true;
  add("returns after its lease").restart_delay = milliseconds(9'000);
  const auto add_gang = [&](const char* name, const crash_settings& settings) {
    out.push_back({name, false, settings, true});
  };
  add_gang("gang", make_issuer_failures(1, 10, 10));
  add_gang("gang, three leaders", make_issuer_failures(3, 10, 10));
  add_gang("gang, three leaders before the crash",
           make_issuer_failures(3, 10, 300));
  add_gang("gang, with each start", make_issuer_failures(9, 10, 10));
  add_gang("gang, with each start, before the crash",
           make_issuer_failures(9, 10, 300));
  add_gang("gang, at once with each start", make_issuer_failures(9, 0, 10));
  add_gang("gang, after each start is committed",
           make_issuer_failures(9, 400, 10));
  add_gang("gang, while each worker is silent",
           make_issuer_failures(9, 1'000, 10));
  return out;
}

}  // namespace

TEST_GROUP(crashing_issuer){};

TEST(crashing_issuer, only_the_crashing_task_fails_within_its_crash_limit) {
  for (const row& it : rows()) {
    crash_world world(it.settings);
    world.crashes = is_crashing;
    world.submit(long_running_job, {crash_world::make_step(6, true)});
    world.run_for(milliseconds(1'000));
    for (uint64_t n = 0; n < jobs; ++n) {
      if (n == 3) {
        fleet::step_spec step = crash_world::make_step(3, it.is_long_running);
        step.set_gang(it.is_gang);
        world.submit(crashing_job, {step});
      }
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

// Each of the leader's own answers that say "not taken" is held against what it
// has handed to the log: nothing of the job may be there, then or later, when
// the box leads again and the log takes all that comes.
#include <CppUTest/TestHarness.h>

#include <functional>
#include <optional>

#include "fleet/fleet-test-world.h"

using namespace kestrelreel;

namespace {

constexpr uint64_t job = 7;
constexpr uint32_t few = 2;
constexpr uint32_t most_of_a_job = 20'000;
constexpr uint64_t jobs_of_a_full_box = 4;

bool names_job(const fleet::fleet_command& command) {
  if (command.has_submit()) return command.submit().job() == job;
  for (const auto& it : command.batch().commands()) {
    if (names_job(it)) return true;
  }
  return false;
}

bool log_names_job(const test_world& world) {
  for (const auto& it : world.log.proposed) {
    if (names_job(it)) return true;
  }
  return false;
}

fleet::fleet_request submission() {
  return test_world::make_submit(job, {test_world::make_step(few)});
}

struct refusal_row {
  const char* name;
  fleet::fleet_status status;
  /// The log had it, and may have it yet.
  bool in_log;
  std::function<void(test_world&)> before;
  std::function<void(fleet::fleet_request&)> change;
  /// Between the call and the first settling, and after that.
  std::function<void(test_world&)> at_once;
  std::function<void(test_world&)> later;
};

const std::function<void(test_world&)> nothing = [](test_world&) {};
const std::function<void(fleet::fleet_request&)> as_it_is =
    [](fleet::fleet_request&) {};
const std::function<void(test_world&)> configured = [](test_world& world) {
  world.configure();
};
const std::function<void(test_world&)> steps_down = [](test_world& world) {
  world.controller.set_leading(false);
};

/// Refused before anything was handed to the log.
const refusal_row own_refusals[] = {
    {"does not lead", fleet::fleet_unavailable, false,
     [](test_world& world) {
       world.configure();
       world.controller.set_leading(false);
     },
     as_it_is, nothing, nothing},
    {"may not decide", fleet::fleet_unavailable, false,
     [](test_world& world) {
       world.configure();
       world.log.decides = false;
     },
     as_it_is, nothing, nothing},
    {"no configuration", fleet::fleet_unavailable, false, nothing, as_it_is,
     nothing, nothing},
    {"another host", fleet::fleet_no_queue, false, configured,
     [](fleet::fleet_request& it) {
       it.mutable_job()->set_host("other.example");
     },
     nothing, nothing},
    {"path of no job", fleet::fleet_no_queue, false, configured,
     [](fleet::fleet_request& it) { it.mutable_job()->set_path("/plans/7"); },
     nothing, nothing},
    {"no steps", fleet::fleet_invalid, false, configured,
     [](fleet::fleet_request& it) {
       it.mutable_job()->mutable_submit()->clear_steps();
     },
     nothing, nothing},
    {"asks for nothing", fleet::fleet_invalid, false, configured,
     [](fleet::fleet_request& it) { it.mutable_job()->clear_submit(); },
     nothing, nothing},
    {"too much waits", fleet::fleet_refused, false,
     [](test_world& world) {
       world.configure();
       for (uint64_t i = 1; i <= jobs_of_a_full_box; ++i) {
         const auto status =
             world.submit(job + i, {test_world::make_step(most_of_a_job)})
                 .status();
         LONGS_EQUAL(fleet::fleet_ok, status);
       }
     },
     as_it_is, nothing, nothing},
};

/// Taken from the caller, and then not, or not by now, in the log.
const refusal_row later_refusals[] = {
    {"the log takes nothing", fleet::fleet_unavailable, false,
     [](test_world& world) {
       world.configure();
       world.log.refuses = true;
     },
     as_it_is, nothing, nothing},
    {"steps down before the log has it", fleet::fleet_unavailable, false,
     configured, as_it_is, steps_down, nothing},
    {"steps down when the log has it", fleet::fleet_unknown, true, configured,
     as_it_is, nothing, steps_down},
    {"may not decide any more, steps down", fleet::fleet_unknown, true,
     configured, as_it_is, [](test_world& world) { world.log.decides = false; },
     steps_down},
    {"the queue goes before it lasts", fleet::fleet_no_queue, true, configured,
     as_it_is,
     [](test_world& world) {
       fleet::fleet_command command;
       *command.mutable_config() = test_world::make_config(2);
       command.mutable_config()->mutable_queues(0)->set_name("others");
       world.controller.applied(command);
     },
     [](test_world& world) { world.commit(); }},
};

void check(const refusal_row& row) {
  test_world world;
  row.before(world);
  world.log.proposed.clear();
  fleet::fleet_request request = submission();
  row.change(request);
  std::optional<fleet::fleet_status> status;
  world.controller.request(request, [&](const fleet::fleet_response& it) {
    CHECK_FALSE_TEXT(status.has_value(), row.name);
    status = it.status();
  });
  row.at_once(world);
  world.controller.decide();
  CHECK_EQUAL_TEXT(row.in_log, log_names_job(world), row.name);
  row.later(world);
  CHECK_TRUE_TEXT(status.has_value(), row.name);
  LONGS_EQUAL_TEXT(row.status, *status, row.name);
  if (row.status == fleet::fleet_unknown) return;
  // All is well again: nothing may come up that was held back, neither while
  // the box leads on nor when it leads anew.
  world.log.decides = true;
  world.log.refuses = false;
  for (int i = 0; i < 2; ++i) {
    world.controller.decide();
    CHECK_FALSE_TEXT(log_names_job(world), row.name);
    world.pass(milliseconds(1'000));
    CHECK_TRUE_TEXT(world.controller.book().find(job_number(job)) == nullptr,
                    row.name);
    world.controller.set_leading(false);
    ++world.log.leader_term;
    world.controller.set_leading(true);
  }
}

}  // namespace

TEST_GROUP(not_taken){};

TEST(not_taken, leaders_own_refusals_leave_nothing) {
  for (const refusal_row& row : own_refusals) check(row);
}

TEST(not_taken, what_the_log_had_is_never_called_not_taken) {
  for (const refusal_row& row : later_refusals) check(row);
}

// A row that refuses nothing shows that the others could fail.
TEST(not_taken, a_job_without_fault_is_in_the_log) {
  test_world world;
  world.configure();
  world.controller.request(submission(), [](const fleet::fleet_response&) {});
  world.controller.decide();
  CHECK_TRUE(log_names_job(world));
  world.commit();
  CHECK_TRUE(world.controller.book().find(job_number(job)) != nullptr);
}

// An answer to a token of an earlier leadership must not be another job's.
TEST(not_taken, unclear_job_is_not_answered_by_a_later_one) {
  test_world world;
  world.configure();
  int answers = 0;
  world.controller.request(submission(), [&](const fleet::fleet_response& it) {
    ++answers;
    LONGS_EQUAL(fleet::fleet_unknown, it.status());
  });
  world.controller.decide();
  world.controller.set_leading(false);
  ++world.log.leader_term;
  world.controller.set_leading(true);
  world.commit();
  CHECK_EQUAL(1, answers);
  CHECK_TRUE(world.controller.book().find(job_number(job)) != nullptr);
  LONGS_EQUAL(fleet::fleet_ok, world.ask(submission()).status());
}

// Checks each refusal by which the leader tells a caller that a job was not
// taken: the job must not be in the log then or later, even when the box leads
// again and the log accepts all proposals.
#include <CppUTest/TestHarness.h>

#include <functional>
#include <optional>

#include "fleet/fleet-test-world.h"

using namespace kestrelreel;

namespace {

constexpr uint64_t job = 7;
constexpr uint32_t task_count = 2;
constexpr uint32_t max_tasks_per_job = 20'000;
constexpr uint64_t jobs_until_overload = 4;

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
  return test_world::make_submit(job, {test_world::make_step(task_count)});
}

struct refusal_row {
  const char* name;
  fleet::fleet_status status;
  /// The job was proposed and may be committed.
  bool in_log;
  std::function<void(test_world&)> prepare;
  std::function<void(fleet::fleet_request&)> change;
  /// Runs between the call and the first `decide`, and after it.
  std::function<void(test_world&)> before_decide;
  std::function<void(test_world&)> after_decide;
};

const std::function<void(test_world&)> nothing = [](test_world&) {};
const std::function<void(fleet::fleet_request&)> unchanged =
    [](fleet::fleet_request&) {};
const std::function<void(test_world&)> configured = [](test_world& world) {
  world.configure();
};
const std::function<void(test_world&)> steps_down = [](test_world& world) {
  world.controller.set_leading(false);
};

/// Refused before anything was proposed.
const refusal_row early_refusals[] = {
    {"does not lead", fleet::fleet_unavailable, false,
     [](test_world& world) {
       world.configure();
       world.controller.set_leading(false);
     },
     unchanged, nothing, nothing},
    {"may not decide", fleet::fleet_unavailable, false,
     [](test_world& world) {
       world.configure();
       world.log.decides = false;
     },
     unchanged, nothing, nothing},
    {"no configuration", fleet::fleet_unavailable, false, nothing, unchanged,
     nothing, nothing},
    {"another host", fleet::fleet_no_queue, false, configured,
     [](fleet::fleet_request& it) {
       it.mutable_job()->set_host("other.example");
     },
     nothing, nothing},
    {"path without a job number", fleet::fleet_no_queue, false, configured,
     [](fleet::fleet_request& it) { it.mutable_job()->set_path("/plans/7"); },
     nothing, nothing},
    {"no steps", fleet::fleet_invalid, false, configured,
     [](fleet::fleet_request& it) {
       it.mutable_job()->mutable_submit()->clear_steps();
     },
     nothing, nothing},
    {"empty call", fleet::fleet_invalid, false, configured,
     [](fleet::fleet_request& it) { it.mutable_job()->clear_submit(); },
     nothing, nothing},
    {"too many live tasks", fleet::fleet_refused, false,
     [](test_world& world) {
       world.configure();
       for (uint64_t i = 1; i <= jobs_until_overload; ++i) {
         const auto status =
             world.submit(job + i, {test_world::make_step(max_tasks_per_job)})
                 .status();
         LONGS_EQUAL(fleet::fleet_ok, status);
       }
     },
     unchanged, nothing, nothing},
};

/// Accepted from the caller, and then rejected by the log or not committed.
const refusal_row later_refusals[] = {
    {"the log refuses proposals", fleet::fleet_unavailable, false,
     [](test_world& world) {
       world.configure();
       world.log.refuses = true;
     },
     unchanged, nothing, nothing},
    {"steps down before the proposal", fleet::fleet_unavailable, false,
     configured, unchanged, steps_down, nothing},
    {"steps down after the proposal", fleet::fleet_unknown, true, configured,
     unchanged, nothing, steps_down},
    {"may not decide any more, steps down", fleet::fleet_unknown, true,
     configured, unchanged,
     [](test_world& world) { world.log.decides = false; }, steps_down},
    {"the queue is removed before the commit", fleet::fleet_no_queue, true,
     configured, unchanged,
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
  row.prepare(world);
  world.log.proposed.clear();
  fleet::fleet_request request = submission();
  row.change(request);
  std::optional<fleet::fleet_status> status;
  world.controller.request(request, [&](const fleet::fleet_response& it) {
    CHECK_FALSE_TEXT(status.has_value(), row.name);
    status = it.status();
  });
  row.before_decide(world);
  world.controller.decide();
  CHECK_EQUAL_TEXT(row.in_log, log_names_job(world), row.name);
  row.after_decide(world);
  CHECK_TRUE_TEXT(status.has_value(), row.name);
  LONGS_EQUAL_TEXT(row.status, *status, row.name);
  if (row.status == fleet::fleet_unknown) return;
  // With the faults removed, no held-back submission may be proposed, neither
  // while the box leads on nor when it leads again.
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

TEST(not_taken, refused_job_is_not_proposed) {
  for (const refusal_row& row : early_refusals) check(row);
}

TEST(not_taken, proposed_job_is_never_reported_not_taken) {
  for (const refusal_row& row : later_refusals) check(row);
}

// A valid job passes the same check, which shows that the check can fail.
TEST(not_taken, valid_job_is_proposed) {
  test_world world;
  world.configure();
  world.controller.request(submission(), [](const fleet::fleet_response&) {});
  world.controller.decide();
  CHECK_TRUE(log_names_job(world));
  world.commit();
  CHECK_TRUE(world.controller.book().find(job_number(job)) != nullptr);
}

// A response to a token of an earlier term must not go to another job's caller.
TEST(not_taken, token_of_an_earlier_term_is_not_reused) {
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

// Admission at the leader: load that cannot be served, copies, and changes of
// leader.
#include <CppUTest/TestHarness.h>

#include "fleet/fleet-test-world.h"

using namespace kestrelreel;

namespace {

controller_settings settings_with(bool admission) {
  controller_settings settings = test_world::make_settings();
  settings.decisions.admission = admission;
  return settings;
}

/// One worker with four processors.
struct admission_world : test_world {
  explicit admission_world(bool admission = true)
      : test_world(settings_with(admission)) {
    configure();
    keep_worker(milliseconds(5'000));
  }

  void keep_worker(milliseconds n) {
    for (milliseconds at{0}; at < n; at += milliseconds(500)) {
      beat("a");
      pass(milliseconds(500));
    }
  }

  /// Four core-seconds, of use for nine seconds.
  fleet::fleet_response submit_one(uint64_t job) {
    return submit(job, {make_step(4)});
  }

  /// Submits jobs until one is refused; returns its number, 0 if none is.
  uint64_t first_refused(uint64_t most = 40) {
    for (uint64_t job = 1; job <= most; ++job) {
      if (submit_one(job).status() == fleet::fleet_refused) return job;
    }
    return 0;
  }
};

}  // namespace

TEST_GROUP(fleet_admission){};

TEST(fleet_admission, jobs_of_no_use_are_refused_at_once) {
  admission_world off(false);
  LONGS_EQUAL(0, off.first_refused());
  admission_world on;
  // Nine jobs take nine seconds on four processors.
  LONGS_EQUAL(10, on.first_refused());
  const fleet::fleet_response refused = on.submit_one(11);
  CHECK_TRUE(refused.status() == fleet::fleet_refused);
  CHECK_TRUE(refused.retry_after_ms() >= 1'000);
  CHECK_TRUE(on.controller.book().find(job_number(11)) == nullptr);
}

TEST(fleet_admission, room_that_opens_is_given) {
  admission_world world;
  const uint64_t refused = world.first_refused();
  for (uint64_t job = 1; job < refused; ++job) world.cancel(job);
  CHECK_TRUE(world.submit_one(refused).status() == fleet::fleet_ok);
}

TEST(fleet_admission, copies_of_accepted_jobs_are_never_refused) {
  admission_world world;
  const uint64_t refused = world.first_refused();
  for (uint64_t job = 1; job < refused; ++job)
    CHECK_TRUE(world.submit_one(job).status() == fleet::fleet_ok);
}

// The first copy is on its way into the log when the second one comes.
TEST(fleet_admission, copies_of_pending_jobs_get_one_answer) {
  admission_world world;
  const uint64_t refused = world.first_refused();
  world.cancel(1);
  int ok = 0;
  const auto respond = [&](const fleet::fleet_response& it) {
    if (it.status() == fleet::fleet_ok) ++ok;
  };
  const auto request =
      test_world::make_submit(refused, {test_world::make_step(4)});
  world.controller.request(request, respond);
  world.controller.request(request, respond);
  world.commit();
  LONGS_EQUAL(2, ok);
}

// A leader that has not heard its workers yet knows no capacity.
TEST(fleet_admission, new_leader_refuses_nothing_until_workers_have_called) {
  admission_world world;
  const uint64_t refused = world.first_refused();
  world.controller.set_leading(false);
  ++world.log.leader_term;
  world.controller.set_leading(true);
  CHECK_TRUE(world.submit_one(refused).status() == fleet::fleet_ok);
  world.keep_worker(milliseconds(5'000));
  CHECK_TRUE(world.submit_one(refused + 1).status() == fleet::fleet_refused);
}

TEST(fleet_admission, refused_job_never_runs) {
  admission_world world;
  const uint64_t refused = world.first_refused();
  world.keep_worker(milliseconds(3'000));
  CHECK_TRUE(world.controller.book().find(job_number(refused)) == nullptr);
  for (const auto& row : world.workers["a"].running())
    CHECK_TRUE(row.task().job() != refused);
}

TEST(fleet_admission, wrong_estimates_get_a_clear_answer) {
  struct row {
    const char* name;
    uint64_t estimate_ms;
    uint32_t count;
    fleet::fleet_status status;
  };
  // The objective follows the declared time, so that hours are of use for
  // longer.
  const row rows[] = {
      {"none", 0, 4, fleet::fleet_ok},
      {"hours", 7'200'000, 1, fleet::fleet_ok},
      {"more than there is", 1'000, 1'000, fleet::fleet_refused}};
  for (const row& it : rows) {
    admission_world world;
    fleet::step_spec step = test_world::make_step(it.count);
    step.set_estimate_ms(it.estimate_ms);
    CHECK_TRUE_TEXT(world.submit(1, {step}).status() == it.status, it.name);
  }
}

TEST(fleet_admission,
     long_running_jobs_are_refused_without_processors_for_them) {
  admission_world world;
  fleet::step_spec step = test_world::make_step(2);
  step.set_long_running(true);
  CHECK_TRUE(world.submit(1, {step}).status() == fleet::fleet_ok);
  CHECK_TRUE(world.submit(2, {step}).status() == fleet::fleet_ok);
  CHECK_TRUE(world.submit(3, {step}).status() == fleet::fleet_refused);
  world.cancel(1);
  CHECK_TRUE(world.submit(3, {step}).status() == fleet::fleet_ok);
}

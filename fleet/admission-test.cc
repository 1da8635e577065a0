// Admission at the leader: load that cannot be served, copies, changes of
// leader, and what it knows of the capacity.
#include <CppUTest/TestHarness.h>

#include "fleet/fleet-test-world.h"

using namespace kestrelreel;

namespace {

controller_settings settings_with(bool admission) {
  controller_settings settings = test_world::make_settings();
  settings.decisions.admission = admission;
  return settings;
}

/// Workers with four processors each.
struct admission_world : test_world {
  explicit admission_world(bool admission = true)
      : admission_world(settings_with(admission)) {}
  explicit admission_world(controller_settings settings,
                           const std::vector<std::string>& names = {"a"})
      : test_world(std::move(settings)) {
    configure();
    keep(names, milliseconds(5'000));
  }

  void keep(const std::vector<std::string>& names, milliseconds n) {
    for (milliseconds at{0}; at < n; at += milliseconds(500)) {
      for (const std::string& it : names) beat(it);
      pass(milliseconds(500));
    }
  }

  /// Four core-seconds, due within three seconds and of use for nine.
  fleet::fleet_response submit_one(uint64_t job) {
    return submit(job, {make_step(4)});
  }

  bool accepts(uint64_t job) {
    return submit_one(job).status() == fleet::fleet_ok;
  }

  /// Submits jobs from that number on until one is refused; returns its number,
  /// 0 if none is.
  uint64_t first_refused(uint64_t from = 1,
                         const fleet::step_spec& step = make_step(4)) {
    constexpr uint64_t most = 40;
    for (uint64_t job = from; job < from + most; ++job) {
      const fleet::fleet_response it = submit(job, {step});
      if (it.status() == fleet::fleet_refused) return job;
    }
    return 0;
  }

  uint64_t refusals(const char* cause) {
    return metrics.counter("kestrelreel_jobs_refused_total",
                           {{"cause", cause}});
  }

  /// Adds a less urgent queue.
  void add_later_queue() {
    fleet::fleet_request request;
    *request.mutable_put_config() = make_config(2);
    fleet::queue_route& queue = *request.mutable_put_config()->add_queues();
    queue = request.put_config().queues(0);
    queue.set_name("later");
    queue.set_host("later.example");
    queue.set_priority(1);
    ask(request);
  }

  fleet::fleet_status submit_later(uint64_t job) {
    fleet::fleet_request request = make_submit(job, {make_step(4)});
    request.mutable_job()->set_host("later.example");
    return ask(request).status();
  }
};

fleet::step_spec make_listener(uint32_t count) {
  fleet::step_spec step = test_world::make_step(count);
  step.set_long_running(true);
  step.set_target_ms(50);
  return step;
}

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
  STRCMP_EQUAL("overload", refused.reason().c_str());
  // Eleven seconds of work, and it is of use to return three before.
  LONGS_EQUAL(8'000, refused.retry_after_ms());
  CHECK_TRUE(on.controller.book().find(job_number(11)) == nullptr);
  LONGS_EQUAL(2, on.refusals("overload"));
}

TEST(fleet_admission, room_that_opens_is_given) {
  admission_world world;
  const uint64_t refused = world.first_refused();
  LONGS_EQUAL(10, refused);
  for (uint64_t job = 1; job < refused; ++job) world.cancel(job);
  CHECK_TRUE(world.accepts(refused));
}

TEST(fleet_admission, cancel_of_a_refused_job_drops_its_turn) {
  admission_world world;
  LONGS_EQUAL(10, world.first_refused());
  world.cancel(10);
  // As job 10 was told.
  LONGS_EQUAL(7'000, world.submit_one(11).retry_after_ms());
}

TEST(fleet_admission, copies_of_accepted_jobs_are_never_refused) {
  admission_world world;
  const uint64_t refused = world.first_refused();
  LONGS_EQUAL(10, refused);
  for (uint64_t job = 1; job < refused; ++job) CHECK_TRUE(world.accepts(job));
}

// The first copy is on its way into the log when the second one comes.
TEST(fleet_admission, copies_of_pending_jobs_get_one_answer) {
  admission_world world;
  const uint64_t refused = world.first_refused();
  LONGS_EQUAL(10, refused);
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

// Accepted jobs that the log has not committed yet count, and those that it
// rejected do not.
TEST(fleet_admission, pending_jobs_are_work_ahead) {
  admission_world world;
  unsigned refused = 0;
  unsigned unavailable = 0;
  const auto respond = [&](const fleet::fleet_response& it) {
    refused += it.status() == fleet::fleet_refused;
    unavailable += it.status() == fleet::fleet_unavailable;
  };
  for (uint64_t job = 1; job <= 10; ++job) {
    world.controller.request(
        test_world::make_submit(job, {test_world::make_step(4)}), respond);
  }
  LONGS_EQUAL(1, refused);
  world.log.refuses = true;
  world.commit();
  LONGS_EQUAL(9, unavailable);
  world.log.refuses = false;
  world.cancel(10);
  LONGS_EQUAL(20, world.first_refused(11));
}

// A leader that has not heard its workers yet knows no capacity.
TEST(fleet_admission, new_leader_refuses_nothing_until_workers_have_called) {
  admission_world world;
  const uint64_t refused = world.first_refused();
  LONGS_EQUAL(10, refused);
  world.controller.set_leading(false);
  ++world.log.leader_term;
  world.controller.set_leading(true);
  CHECK_TRUE(world.accepts(refused));
  LONGS_EQUAL(0, world.first_refused(refused + 1));
  world.keep({"a"}, milliseconds(5'000));
  CHECK_TRUE(world.first_refused(100) != 0);
}

// The heartbeats of the others wait unread.
TEST(fleet_admission, stalled_leader_refuses_nothing) {
  const std::vector<std::string> names{"a", "b", "c"};
  admission_world world(settings_with(true), names);
  world.clock.advance(milliseconds(3'500));
  world.beat("a");
  for (uint64_t job = 1; job <= 12; ++job) CHECK_TRUE(world.accepts(job));
  // Its next tick finds that it stalled.
  world.pass(milliseconds(100));
  world.beat("a");
  for (uint64_t job = 13; job <= 24; ++job) CHECK_TRUE(world.accepts(job));
  world.keep(names, milliseconds(6'000));
  CHECK_TRUE(world.first_refused(100) != 0);
}

TEST(fleet_admission, refused_job_never_runs) {
  admission_world world;
  const uint64_t refused = world.first_refused();
  LONGS_EQUAL(10, refused);
  world.keep({"a"}, milliseconds(3'000));
  CHECK_TRUE(world.controller.book().find(job_number(refused)) == nullptr);
  CHECK_TRUE(world.workers["a"].running_size() > 0);
  for (const auto& row : world.workers["a"].running())
    CHECK_TRUE(row.task().job() != refused);
}

TEST(fleet_admission, wrong_estimates_get_a_clear_answer) {
  struct row {
    const char* name;
    uint64_t estimate_ms;
    uint32_t count;
  };
  // The objective follows the declared time, so that hours are of use for
  // longer, and a job that is wider than the pool takes no longer on any other
  // day.
  const row rows[] = {{"none", 0, 4},
                      {"hours", 7'200'000, 1},
                      {"more than there is", 1'000, 1'000}};
  for (const row& it : rows) {
    admission_world world;
    fleet::step_spec step = test_world::make_step(it.count);
    step.set_estimate_ms(it.estimate_ms);
    CHECK_TRUE_TEXT(world.submit(1, {step}).status() == fleet::fleet_ok,
                    it.name);
    // It holds the pool until its deadline at most.
    CHECK_TRUE_TEXT(world.accepts(2), it.name);
    CHECK_TRUE_TEXT(world.first_refused(3) != 0, it.name);
  }
}

TEST(fleet_admission, capacity_is_what_jobs_of_the_kind_get) {
  struct row {
    const char* name;
    uint32_t listeners;
    uint32_t short_tasks;
    bool backfill;
    uint64_t first_refused;
  };
  // Listeners use 55 % of their processors, and short tasks end within seconds.
  const row rows[] = {{"idle", 0, 0, false, 10},
                      {"half serves", 2, 0, false, 5},
                      {"all serves", 4, 0, false, 1},
                      {"backfill beside listeners", 4, 0, true, 5},
                      {"backfill beside short tasks", 0, 4, true, 10}};
  for (const row& it : rows) {
    admission_world world;
    if (it.listeners > 0) world.submit(100, {make_listener(it.listeners)});
    if (it.short_tasks > 0)
      world.submit(101, {test_world::make_step(it.short_tasks)});
    world.keep({"a"}, milliseconds(1'000));
    LONGS_EQUAL_TEXT(it.listeners + it.short_tasks,
                     world.workers["a"].running_size(), it.name);
    fleet::step_spec step = test_world::make_step(4);
    step.set_fills(it.backfill);
    LONGS_EQUAL_TEXT(it.first_refused, world.first_refused(1, step), it.name);
  }
}

TEST(fleet_admission, evacuated_workers_are_no_capacity) {
  for (const bool evacuated : {false, true}) {
    admission_world world(settings_with(true), {});
    world.workers["a"].set_data_centre("south");
    world.workers["b"].set_data_centre("north");
    world.keep({"a", "b"}, milliseconds(5'000));
    fleet::fleet_request request;
    request.mutable_evacuation()->set_data_centre("north");
    request.mutable_evacuation()->set_evacuate(evacuated);
    world.ask(request);
    LONGS_EQUAL(evacuated ? 10 : 19, world.first_refused());
    const auto status = world.submit(100, {make_listener(6)}).status();
    CHECK_TRUE(status == (evacuated ? fleet::fleet_refused : fleet::fleet_ok));
  }
}

TEST(fleet_admission, more_urgent_work_goes_before) {
  admission_world world;
  world.add_later_queue();
  for (uint64_t job = 1; job <= 9; ++job)
    CHECK_TRUE(world.submit_later(job) == fleet::fleet_ok);
  CHECK_TRUE(world.submit_later(10) == fleet::fleet_refused);
  // Less urgent work does not.
  LONGS_EQUAL(20, world.first_refused(11));
  CHECK_TRUE(world.submit_later(21) == fleet::fleet_refused);
}

// A job that is late goes after one that can be in time.
TEST(fleet_admission, late_jobs_go_before_nobody) {
  admission_world world;
  // Due within nine seconds and of use for 27.
  fleet::step_spec step = test_world::make_step(4);
  step.set_estimate_ms(4'000);
  LONGS_EQUAL(7, world.first_refused(1, step));
  world.keep({"a"}, milliseconds(5'000));
  CHECK_TRUE(world.submit(8, {step}).status() == fleet::fleet_refused);
  world.pass(milliseconds(100));
  CHECK_TRUE(world.submit(9, {step}).status() == fleet::fleet_ok);
}

TEST(fleet_admission, jobs_passed_over_go_before_nobody) {
  for (const bool order : {false, true}) {
    controller_settings settings = settings_with(true);
    settings.decisions.overload_order = order;
    admission_world world(settings);
    LONGS_EQUAL(10, world.first_refused());
    world.keep({"a"}, milliseconds(500));
    CHECK_EQUAL(order, world.accepts(11));
  }
}

TEST(fleet_admission, jobs_due_later_go_before_nobody) {
  admission_world world;
  fleet::step_spec step = test_world::make_step(4);
  step.set_estimate_ms(4'000);
  for (uint64_t job = 1; job <= 6; ++job)
    CHECK_TRUE(world.submit(job, {step}).status() == fleet::fleet_ok);
  LONGS_EQUAL(20, world.first_refused(11));
}

TEST(fleet_admission,
     long_running_jobs_are_refused_without_processors_for_them) {
  admission_world world;
  fleet::fleet_request config;
  *config.mutable_put_config() = test_world::make_config(2);
  config.mutable_put_config()->mutable_queues(0)->set_objective_ms(4'000);
  world.ask(config);
  const fleet::step_spec step = make_listener(2);
  CHECK_TRUE(world.submit(1, {step}).status() == fleet::fleet_ok);
  CHECK_TRUE(world.submit(2, {step}).status() == fleet::fleet_ok);
  const fleet::fleet_response refused = world.submit(3, {step});
  CHECK_TRUE(refused.status() == fleet::fleet_refused);
  STRCMP_EQUAL("no-capacity", refused.reason().c_str());
  LONGS_EQUAL(4'000, refused.retry_after_ms());
  LONGS_EQUAL(1, world.refusals("no-capacity"));
  // Backfill holds no processors.
  fleet::step_spec backfill = make_listener(2);
  backfill.set_fills(true);
  CHECK_TRUE(world.submit(4, {backfill}).status() == fleet::fleet_ok);
  world.cancel(1);
  CHECK_TRUE(world.submit(3, {step}).status() == fleet::fleet_ok);
}

// A cut of some seconds takes no processors from listeners.
TEST(fleet_admission, silent_workers_have_processors_for_long_running_jobs) {
  admission_world world(settings_with(true), {"a", "b"});
  world.keep({"a"}, milliseconds(3'500));
  // Short jobs do not wait for the worker.
  LONGS_EQUAL(10, world.first_refused());
  CHECK_TRUE(world.submit(101, {make_listener(6)}).status() == fleet::fleet_ok);
  CHECK_TRUE(world.submit(102, {make_listener(3)}).status() ==
             fleet::fleet_refused);
  CHECK_TRUE(world.submit(103, {make_listener(2)}).status() == fleet::fleet_ok);
}

TEST(fleet_admission, refusals_for_want_of_memory_are_counted) {
  controller_settings settings = settings_with(false);
  settings.max_live_tasks = 3;
  admission_world world(settings);
  CHECK_TRUE(world.accepts(1));
  const fleet::fleet_response refused = world.submit_one(2);
  CHECK_TRUE(refused.status() == fleet::fleet_refused);
  STRCMP_EQUAL("overload", refused.reason().c_str());
  LONGS_EQUAL(1, world.refusals("memory"));
}

// The leader's decisions on a virtual clock: responses to callers and orders to
// workers.
#include <CppUTest/TestHarness.h>

#include "fleet/controller-test-group.h"

using namespace kestrelreel;

TEST_GROUP_BASE(controller, controller_test){};

TEST(controller, job_is_acknowledged_only_once_committed) {
  world.configure();
  int answers = 0;
  world.controller.request(
      test_world::make_submit(7, {test_world::make_step(1)}),
      [&](const fleet::fleet_response& it) {
        LONGS_EQUAL(fleet::fleet_ok, it.status());
        ++answers;
      });
  LONGS_EQUAL(0, answers);
  world.commit();
  LONGS_EQUAL(1, answers);
}

TEST(controller, repeated_submission_is_one_job) {
  world.configure();
  LONGS_EQUAL(fleet::fleet_ok,
              world.submit(7, {test_world::make_step(1)}).status());
  LONGS_EQUAL(fleet::fleet_ok,
              world.submit(7, {test_world::make_step(3)}).status());
  LONGS_EQUAL(1, world.controller.book().jobs().size());
  LONGS_EQUAL(
      1, world.controller.book().find(job_number(7))->times[0][0].tasks.size());
}

TEST(controller, unusable_calls_get_their_status) {
  struct row {
    const char* path;
    uint64_t job;
    bool configured;
    fleet::fleet_status status;
  };
  const row rows[] = {
      {"/plans/0000000000000007", 7, true, fleet::fleet_no_job},
      {"/other/0000000000000007", 7, true, fleet::fleet_no_queue},
      {"/plans/x/0000000000000007", 7, true, fleet::fleet_no_queue},
      {"/plans/0000000000000007", 7, false, fleet::fleet_unavailable},
  };
  for (const row& it : rows) {
    test_world fresh;
    if (it.configured) fresh.configure();
    fleet::fleet_request request = test_world::make_call(it.job);
    request.mutable_job()->set_path(it.path);
    request.mutable_job()->set_state(true);
    LONGS_EQUAL_TEXT(it.status, fresh.ask(request).status(), it.path);
  }
}

TEST(controller, start_is_ordered_only_once_committed) {
  world.configure();
  world.submit(7, {test_world::make_step(1)});
  fleet::fleet_request request;
  fleet::worker_beat& beat = *request.mutable_beat();
  beat.set_worker("a");
  beat.set_pool("pool");
  beat.set_cpu_milli(4'000);
  beat.set_memory_mb(1'000);
  beat.set_sequence(1);
  int answers = 0;
  world.controller.request(request, [&](const fleet::fleet_response& it) {
    LONGS_EQUAL(1, it.orders().starts_size());
    LONGS_EQUAL(1, it.orders().starts(0).run());
    ++answers;
  });
  world.controller.decide();
  LONGS_EQUAL(0, answers);
  world.commit();
  LONGS_EQUAL(1, answers);
}

TEST(controller, end_is_acknowledged_only_once_committed) {
  start_one_task();
  world.end("a", task(7, 0, 0), 1, fleet::run_done);
  fleet::fleet_request request;
  *request.mutable_beat() = world.workers["a"];
  request.mutable_beat()->set_sequence(50);
  uint64_t acknowledged = 99;
  world.controller.request(request, [&](const fleet::fleet_response& it) {
    acknowledged = it.orders().last_end();
  });
  world.controller.decide();
  LONGS_EQUAL(99, acknowledged);
  world.commit();
  LONGS_EQUAL(1, acknowledged);
  LONGS_EQUAL(fleet::job_succeeded, world.state(7).phase());
}

TEST(controller, start_is_sent_again_until_the_worker_lists_it) {
  start_one_task();
  world.workers["a"].clear_running();
  const fleet::worker_orders again = world.beat("a");
  LONGS_EQUAL(1, again.starts_size());
  LONGS_EQUAL(1, again.starts(0).run());
  LONGS_EQUAL(0, world.beat("a").starts_size());
}

TEST(controller, cancelled_job_is_stopped_and_never_started) {
  start_one_task();
  LONGS_EQUAL(fleet::fleet_ok, world.cancel(7).status());
  const fleet::worker_orders orders = world.beat("a");
  LONGS_EQUAL(1, orders.stops_size());
  world.end("a", task(7, 0, 0), 1, fleet::run_stopped);
  world.beat("a");
  LONGS_EQUAL(0, world.beat("a").starts_size());
  LONGS_EQUAL(fleet::job_canceled, world.state(7).phase());
  CHECK_TRUE(world.controller.book().runs().empty());
}

TEST(controller, cancelled_start_that_was_never_listed_is_lost) {
  start_one_task();
  world.workers["a"].clear_running();
  world.cancel(7);
  for (int i = 0; i < 10; ++i) {
    world.beat("a");
    world.pass(milliseconds(200));
  }
  CHECK_TRUE(world.controller.book().runs().empty());
}

TEST(controller, failed_attempts_are_counted_and_others_not) {
  struct row {
    fleet::run_outcome outcome;
    fleet::job_phase after;
  };
  const row rows[] = {{fleet::run_failed, fleet::job_failed},
                      {fleet::run_lapsed, fleet::job_running},
                      {fleet::run_stopped, fleet::job_running},
                      {fleet::run_refused, fleet::job_running}};
  for (const row& it : rows) {
    test_world fresh;
    fresh.configure(1, 2);
    fresh.submit(7, {test_world::make_step(1)});
    for (uint32_t run = 1; run <= 2; ++run) {
      fresh.beat("a");
      fresh.end("a", task(7, 0, 0), run, it.outcome);
      fresh.beat("a");
    }
    LONGS_EQUAL(it.after, fresh.state(7).phase());
  }
}

TEST(controller, step_waits_for_the_steps_it_depends_on) {
  world.configure();
  fleet::step_spec second = test_world::make_step(1);
  second.add_depends_on(0);
  world.submit(7, {test_world::make_step(2), second});
  world.beat("a");
  LONGS_EQUAL(2, world.workers["a"].running_size());
  world.end("a", task(7, 0, 0), 1, fleet::run_done);
  LONGS_EQUAL(0, world.beat("a").starts_size());
  world.end("a", task(7, 0, 1), 1, fleet::run_done);
  const fleet::worker_orders orders = world.beat("a");
  LONGS_EQUAL(1, orders.starts_size());
  LONGS_EQUAL(1, orders.starts(0).task().step());
}

TEST(controller, long_running_task_is_restarted_after_any_end) {
  world.configure(1, 1);
  fleet::step_spec step = test_world::make_step(1);
  step.set_long_running(true);
  world.submit(7, {step});
  const fleet::run_outcome outcomes[] = {fleet::run_failed, fleet::run_done,
                                         fleet::run_lapsed, fleet::run_failed};
  uint32_t run = 0;
  for (const fleet::run_outcome it : outcomes) {
    world.beat("a");
    LONGS_EQUAL(1, world.workers["a"].running_size());
    LONGS_EQUAL(++run, world.workers["a"].running(0).run());
    world.end("a", task(7, 0, 0), run, it);
    world.beat("a");
  }
  LONGS_EQUAL(fleet::job_running, world.state(7).phase());
}

TEST(controller, checkpoint_goes_to_the_next_run) {
  start_one_task();
  world.end("a", task(7, 0, 0), 1, fleet::run_stopped, "half");
  const fleet::worker_orders orders = world.beat("a");
  LONGS_EQUAL(1, orders.starts_size());
  STRCMP_EQUAL("half", orders.starts(0).saved().c_str());
}

TEST(controller, capacity_is_never_assigned_twice) {
  world.configure();
  world.submit(7, {test_world::make_step(9, 1'500)});
  LONGS_EQUAL(2, world.beat("a").starts_size());
  // A run that is being stopped still occupies its capacity.
  world.cancel(7);
  world.submit(8, {test_world::make_step(9, 1'500)});
  LONGS_EQUAL(0, world.beat("a").starts_size());
  for (uint32_t i = 0; i < 2; ++i) {
    world.end("a", task(7, 0, i), 1, fleet::run_stopped);
  }
  LONGS_EQUAL(2, world.beat("a").starts_size());
}

TEST(controller, draining_worker_gets_no_start) {
  world.configure();
  world.workers["a"].set_worker("a");
  world.workers["a"].set_pool("pool");
  world.workers["a"].set_cpu_milli(4'000);
  world.workers["a"].set_memory_mb(1'000);
  world.workers["a"].set_draining(true);
  world.submit(7, {test_world::make_step(1)});
  LONGS_EQUAL(0, world.beat("a").starts_size());
  LONGS_EQUAL(1, world.beat("b").starts_size());
}

TEST(controller, configuration_follows_the_highest_version) {
  struct row {
    uint64_t version;
    uint64_t held_after;
    fleet::fleet_status status;
  };
  const row rows[] = {{5, 5, fleet::fleet_ok},
                      {3, 5, fleet::fleet_ok},
                      {5, 5, fleet::fleet_ok},
                      {9, 9, fleet::fleet_ok},
                      {0, 9, fleet::fleet_invalid}};
  for (const row& it : rows) {
    fleet::fleet_request request;
    *request.mutable_put_config() = test_world::make_config(it.version);
    LONGS_EQUAL(it.status, world.ask(request).status());
    LONGS_EQUAL(it.held_after, world.controller.book().config().version());
  }
}

TEST(controller, invalid_configurations_are_refused) {
  const auto broken = [](int fault) {
    fleet::fleet_config config = test_world::make_config(4);
    if (fault == 0) config.mutable_queues(0)->set_pool("unknown");
    if (fault == 1) config.mutable_queues(0)->set_timeout_ms(0);
    if (fault == 2) {
      *config.add_queues() = config.queues(0);
      config.mutable_queues(1)->set_name("other");
    }
    return config;
  };
  for (int fault = 0; fault < 3; ++fault) {
    fleet::fleet_request request;
    *request.mutable_put_config() = broken(fault);
    LONGS_EQUAL(fleet::fleet_invalid, world.ask(request).status());
    LONGS_EQUAL(0, world.controller.book().config().version());
  }
}

TEST(controller, commands_of_one_turn_form_one_entry) {
  world.configure();
  for (uint64_t job = 1; job <= 3; ++job) {
    world.controller.request(
        test_world::make_submit(job, {test_world::make_step(1)}),
        [](const fleet::fleet_response&) {});
  }
  world.controller.decide();
  LONGS_EQUAL(1, world.log.proposed.size());
  LONGS_EQUAL(3, world.log.proposed.front().batch().commands_size());
}

TEST(controller, worker_that_fails_its_tasks_is_avoided) {
  world.configure(1, 99);
  for (uint64_t job = 1; job <= 3; ++job) {
    world.submit(job, {test_world::make_step(1)});
    world.beat("a");
    world.end("a", task(job, 0, 0), 1, fleet::run_failed);
  }
  world.beat("a");
  LONGS_EQUAL(0, world.beat("a").starts_size());
  // The first two jobs were restarted on `a` before it was avoided.
  const fleet::worker_orders orders = world.beat("b");
  LONGS_EQUAL(1, orders.starts_size());
  LONGS_EQUAL(3, orders.starts(0).task().job());
}

TEST(controller, pending_counts_jobs_that_have_not_begun) {
  world.configure();
  world.submit(7, {test_world::make_step(1)});
  world.submit(8, {test_world::make_step(1)});
  fleet::fleet_request request = test_world::make_call(0);
  request.mutable_job()->set_path("/plans/");
  request.mutable_job()->set_state(true);
  request.mutable_job()->set_counts_pending(true);
  LONGS_EQUAL(2, world.ask(request).pending());
  world.beat("a");
  LONGS_EQUAL(0, world.ask(request).pending());
}

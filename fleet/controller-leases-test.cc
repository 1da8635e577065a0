// Leases of workers and of the leader: which worker may be sent a start, and
// until when.
#include <CppUTest/TestHarness.h>

#include "fleet/controller-test-group.h"

using namespace kestrelreel;

TEST_GROUP_BASE(controller_leases, controller_test){};

TEST(controller_leases, without_the_lease_nothing_is_decided) {
  start_one_task();
  world.log.decides = false;
  LONGS_EQUAL(fleet::fleet_unavailable, world.state(7).status());
  LONGS_EQUAL(0, world.beat("a").hold_ms());
}

TEST(controller_leases, silent_worker_keeps_its_task_until_its_lease_is_over) {
  start_one_task();
  const milliseconds expiry_delay =
      world.controller.workers().leases().expiry_delay();
  world.beat("b");
  for (milliseconds at{0}; at < expiry_delay - milliseconds(300);
       at += milliseconds(100)) {
    world.pass(milliseconds(100));
    LONGS_EQUAL(0, world.beat("b").starts_size());
  }
  world.pass(milliseconds(400));
  const fleet::worker_orders orders = world.beat("b");
  LONGS_EQUAL(1, orders.starts_size());
  LONGS_EQUAL(2, orders.starts(0).run());
}

TEST(controller_leases, new_leader_waits_for_leases_of_the_previous_term) {
  start_one_task();
  const std::string state = world.controller.book().save();
  test_world next;
  next.controller.set_leading(false);
  next.log.leader_term = 2;
  CHECK_TRUE(next.controller.installed(state).ok());
  next.controller.set_leading(true);
  next.beat("b");
  next.pass(milliseconds(3'500));
  LONGS_EQUAL(0, next.beat("b").starts_size());
  next.pass(milliseconds(1'000));
  const fleet::worker_orders orders = next.beat("b");
  LONGS_EQUAL(1, orders.starts_size());
  LONGS_EQUAL(2, orders.starts(0).run());
  LONGS_EQUAL(2, orders.fence());
}

TEST(controller_leases, new_leader_takes_over_what_the_worker_lists) {
  start_one_task();
  test_world next;
  next.controller.set_leading(false);
  CHECK_TRUE(next.controller.installed(world.controller.book().save()).ok());
  next.controller.set_leading(true);
  next.workers["a"] = world.workers["a"];
  LONGS_EQUAL(0, next.beat("a").starts_size());
  for (int i = 0; i < 60; ++i) {
    next.pass(milliseconds(200));
    next.beat("a");
    LONGS_EQUAL(0, next.beat("b").starts_size());
  }
  next.end("a", task(7, 0, 0), 1, fleet::run_done);
  next.beat("a");
  LONGS_EQUAL(fleet::job_succeeded, next.state(7).phase());
}

TEST(controller_leases, crashed_machine_back_under_a_new_id_frees_its_tasks) {
  start_one_task();
  world.workers["a2"].set_address("a:1");
  world.workers["a2"].set_worker("a2");
  world.workers["a2"].set_pool("pool");
  world.workers["a2"].set_cpu_milli(4'000);
  world.workers["a2"].set_memory_mb(1'000);
  world.pass(milliseconds(100));
  for (int i = 0; i < 10; ++i) {
    LONGS_EQUAL(0, world.beat("a2").starts_size());
    world.pass(milliseconds(200));
  }
  world.pass(milliseconds(100));
  const fleet::worker_orders orders = world.beat("a2");
  LONGS_EQUAL(1, orders.starts_size());
  LONGS_EQUAL(2, orders.starts(0).run());
}

TEST(controller_leases, late_and_overtaken_heartbeats_extend_no_lease) {
  start_one_task();
  fleet::fleet_request old;
  *old.mutable_beat() = world.workers["a"];
  world.beat("a");
  LONGS_EQUAL(0, world.ask(old).orders().hold_ms());
  // Sent 5 s ago according to the worker's clock.
  fleet::fleet_request late;
  *late.mutable_beat() = world.workers["a"];
  late.mutable_beat()->set_sequence(99);
  world.clock.advance(milliseconds(5'000));
  LONGS_EQUAL(0, world.ask(late).orders().hold_ms());
}

TEST(controller_leases, proposed_job_is_unknown_after_lost_leadership) {
  struct row {
    const char* name;
    bool proposed;
    fleet::fleet_status status;
  };
  const row rows[] = {
      {"not yet proposed", false, fleet::fleet_unavailable},
      {"proposed", true, fleet::fleet_unknown},
  };
  for (const row& it : rows) {
    test_world fresh;
    fresh.configure();
    fleet::fleet_status status = fleet::fleet_ok;
    fresh.controller.request(
        test_world::make_submit(7, {test_world::make_step(1)}),
        [&](const fleet::fleet_response& r) { status = r.status(); });
    if (it.proposed) fresh.controller.decide();
    LONGS_EQUAL_TEXT(it.proposed ? 1 : 0, fresh.log.proposed.size(), it.name);
    fresh.controller.set_leading(false);
    LONGS_EQUAL_TEXT(it.status, status, it.name);
  }
}

TEST(controller_leases, few_workers_call_the_leader_directly) {
  world.configure();
  for (int i = 0; i < 140; ++i) {
    STRCMP_EQUAL("leader:1",
                 world.beat("w" + std::to_string(i)).beat_at().c_str());
  }
  STRCMP_EQUAL("", world.beat("w140").beat_at().c_str());
}

TEST(controller_leases, many_workers_call_less_often) {
  world.configure();
  const uint64_t interval_of_few = world.beat("w0").next_beat_ms();
  LONGS_EQUAL(300, interval_of_few);
  for (int i = 1; i < 4'000; ++i) world.beat("w" + std::to_string(i));
  LONGS_EQUAL(1'000, world.beat("w0").next_beat_ms());
}

// A leader stalled while another box led, and mistook a start that the other
// leader had sent for an unsent one: it placed the task a second time.
TEST(controller_leases, start_unsent_in_an_earlier_term_is_not_withdrawn) {
  world.configure();
  world.beat("a");
  world.submit(7, {test_world::make_step(1)});
  LONGS_EQUAL(1, world.controller.book().runs_on(worker_id("a")).size());
  // The box that led in between sent the order; this box has not learned of
  // the change.
  world.log.leader_term += 2;
  world.controller.set_leading(true);
  world.pass(milliseconds(1'500));
  LONGS_EQUAL(1, world.controller.book().runs_on(worker_id("a")).size());
}

// A heartbeat sent before the run began and delayed until another box led was
// taken for one that should list the run: the run was declared lost while it
// was alive.
TEST(controller_leases, run_missing_from_a_heartbeat_of_unknown_age_is_kept) {
  start_one_task();
  fleet::worker_beat before = world.workers["a"];
  before.clear_running();
  // Too little capacity for the run, so that its start is not sent again.
  before.set_cpu_milli(500);
  test_world next;
  next.controller.set_leading(false);
  CHECK_TRUE(next.controller.installed(world.controller.book().save()).ok());
  next.controller.set_leading(true);
  next.pass(milliseconds(1'700));
  fleet::fleet_request held_up;
  *held_up.mutable_beat() = before;
  next.ask(held_up);
  next.pass(milliseconds(500));
  LONGS_EQUAL(1, next.controller.book().runs_on(worker_id("a")).size());
}

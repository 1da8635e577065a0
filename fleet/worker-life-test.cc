// Liveness of workers: late heartbeats, earlier incarnations on a machine, and
// a leader that stalls.
#include <CppUTest/TestHarness.h>

#include "fleet/fleet-test-world.h"

using namespace kestrelreel;

TEST_GROUP(worker_life) {
  test_world world;

  /// Starts one job with one task on worker `a` of machine `m`.
  void run_one() {
    world.configure();
    world.submit(7, {test_world::make_step(1)});
    world.beat("a");
    world.workers["a"].set_machine("m");
    world.beat("a");
    LONGS_EQUAL(1, world.workers["a"].running_size());
  }
  /// Delivers a heartbeat that the worker sent `age` ago.
  fleet::fleet_response late_beat(const char* worker, milliseconds age) {
    fleet::worker_beat& it = world.workers[worker];
    it.set_sequence(it.sequence() + 1);
    it.set_clock_ms(static_cast<uint64_t>((world.clock.now() - age).count()));
    fleet::fleet_request request;
    *request.mutable_beat() = it;
    return world.ask(request);
  }
  bool has_runs(const char* worker) {
    return !world.controller.book().runs_on(worker_id(worker)).empty();
  }
};

TEST(worker_life, late_heartbeat_grants_lease_or_loses_ends) {
  run_one();
  world.end("a", to_ref({job_number(7), 0, 0, 0}), 1, fleet::run_done);
  world.clock.advance(milliseconds(3'000));
  const fleet::fleet_response response = late_beat("a", milliseconds(1'500));
  LONGS_EQUAL(0, response.orders().hold_ms());
  LONGS_EQUAL(fleet::job_succeeded, world.state(7).phase());
}

TEST(worker_life, worker_with_late_heartbeats_is_declared_lost) {
  run_one();
  for (int i = 0; i < 20; ++i) {
    world.pass(milliseconds(500));
    late_beat("a", milliseconds(1'500));
  }
  CHECK_TRUE(has_runs("a"));
}

TEST(worker_life, stalled_leader_declares_worker_silent) {
  run_one();
  // The heartbeat with the end waits unread while the leader is stalled.
  world.end("a", to_ref({job_number(7), 0, 0, 0}), 1, fleet::run_done);
  world.clock.advance(milliseconds(9'000));
  world.controller.tick();
  world.commit();
  late_beat("a", milliseconds(8'000));
  world.pass(milliseconds(3'000));
  LONGS_EQUAL(fleet::job_succeeded, world.state(7).phase());
  world.beat("b");
  LONGS_EQUAL(0, world.beat("b").starts_size());
}

TEST(worker_life, lease_of_silent_worker_does_not_expire) {
  run_one();
  world.pass(milliseconds(3'900));
  CHECK_TRUE(has_runs("a"));
  world.pass(milliseconds(400));
  CHECK_FALSE(has_runs("a"));
}

// Users tolerate an outage of 9 s of a serving task if there is free capacity.
TEST(worker_life, outage_of_lost_workers_serving_task_lasts_9_s) {
  test_clock clock;
  test_log log;
  metrics_registry metrics;
  controller_settings settings = test_world::make_settings();
  settings.leases.duration = max_lease_duration;
  fleet_controller controller(settings, clock, log, metrics);
  controller.set_leading(true);
  const auto commit = [&] {
    controller.decide();
    while (!log.proposed.empty()) {
      controller.applied(log.proposed.front());
      log.proposed.pop_front();
      controller.decide();
    }
  };
  fleet::fleet_request config;
  *config.mutable_put_config() = test_world::make_config(1);
  controller.request(config, [](const auto&) {});
  commit();
  fleet::step_spec step = test_world::make_step(1);
  step.set_long_running(true);
  controller.request(test_world::make_submit(7, {step}), [](const auto&) {});
  commit();
  uint64_t sequence = 0;
  const auto starts_on = [&](const char* worker) {
    fleet::fleet_request request;
    fleet::worker_beat& beat = *request.mutable_beat();
    beat.set_worker(worker);
    beat.set_pool("pool");
    beat.set_cpu_milli(4'000);
    beat.set_memory_mb(1'000);
    beat.set_sequence(++sequence);
    int n = 0;
    controller.request(request, [&](const fleet::fleet_response& r) {
      n = r.orders().starts_size();
    });
    commit();
    return n;
  };
  LONGS_EQUAL(1, starts_on("a"));
  milliseconds outage{0};
  while (starts_on("b") == 0) {
    clock.advance(milliseconds(100));
    outage += milliseconds(100);
    controller.tick();
    commit();
    CHECK_TRUE(outage < milliseconds(8'500));
  }
  // The task does not start elsewhere before the lease has expired.
  CHECK_TRUE(outage >= milliseconds(7'140));
}

TEST(worker_life, lost_run_is_ordered_again) {
  world.configure();
  world.submit(7, {test_world::make_step(1)});
  world.beat("a");
  // The worker never received the order.
  world.workers["a"].clear_running();
  for (int i = 0; i < 42; ++i) {
    world.clock.advance(milliseconds(100));
    world.controller.tick();
  }
  LONGS_EQUAL(1, world.log.proposed.size());
  fleet::worker_beat& it = world.workers["a"];
  it.set_sequence(it.sequence() + 1);
  it.set_clock_ms(static_cast<uint64_t>(world.clock.now().count()));
  fleet::fleet_request request;
  *request.mutable_beat() = it;
  int starts = 0;
  world.controller.request(request, [&](const fleet::fleet_response& r) {
    starts = r.orders().starts_size();
  });
  // The loss is not committed yet.
  world.controller.decide();
  LONGS_EQUAL(0, starts);
}

TEST(worker_life, delayed_heartbeats_end_incarnation_on_machine) {
  struct row {
    const char* name;
    int beats;
    milliseconds interval;
    milliseconds clock_interval;
    bool ends_incarnation;
  };
  const row rows[] = {
      {"one delayed heartbeat", 1, milliseconds(0), milliseconds(0), false},
      {"several delayed heartbeats at once", 4, milliseconds(0),
       milliseconds(500), false},
      {"delayed heartbeats that arrive apart", 3, milliseconds(500),
       milliseconds(0), false},
      {"a new incarnation", 4, milliseconds(300), milliseconds(300), true},
  };
  for (const row& it : rows) {
    world.~test_world();
    new (&world) test_world();
    run_one();
    world.pass(milliseconds(1'900));
    fleet::worker_beat other = world.workers["a"];
    other.set_worker("other");
    other.clear_running();
    for (int i = 0; i < it.beats; ++i) {
      other.set_sequence(other.sequence() + 1);
      other.set_clock_ms(other.clock_ms() +
                         static_cast<uint64_t>(it.clock_interval.count()));
      fleet::fleet_request request;
      *request.mutable_beat() = other;
      world.ask(request);
      world.pass(it.interval);
    }
    world.pass(milliseconds(200));
    CHECK_EQUAL_TEXT(!it.ends_incarnation, has_runs("a"), it.name);
  }
}

/// Commits the earlier proposals during a proposal, as a replica does whose
/// earlier entries were committed in the meantime.
class committing_log final : public fleet_log {
 public:
  bool may_decide() override { return true; }
  term_number term() const override { return term_number(1); }
  absl::Status propose(const fleet::fleet_command& command) override {
    for (const auto& it : std::exchange(held, {})) controller->applied(it);
    held.push_back(command);
    return absl::OkStatus();
  }
  std::vector<fleet::fleet_command> held;
  fleet_controller* controller = nullptr;
};

TEST(worker_life, worker_forgotten_while_its_heartbeat_is_read) {
  test_clock clock;
  committing_log log;
  metrics_registry metrics;
  fleet_controller controller(test_world::make_settings(), clock, log, metrics);
  log.controller = &controller;
  controller.set_leading(true);
  fleet::fleet_request leave;
  leave.set_worker_leaves("a");
  fleet::fleet_request request;
  fleet::worker_beat& beat = *request.mutable_beat();
  beat.set_worker("a");
  beat.set_pool("pool");
  int answers = 0;
  const auto count = [&](const fleet::fleet_response&) { ++answers; };
  for (uint64_t i = 1; i <= 4; ++i) {
    beat.set_sequence(i);
    fleet::run_end& end = *beat.add_ended();
    end.set_number(i);
    controller.request(request, count);
    controller.request(leave, count);
    controller.decide();
  }
  controller.decide();
  clock.advance(milliseconds(1'000));
  controller.decide();
  controller.decide();
  // Each call is answered at the latest when its worker is forgotten.
  CHECK_TRUE(answers >= 7);
}

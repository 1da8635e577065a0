// What a leader that is behind does first, and what bounds each of its turns.
//
// With dearer answers the log of such a leader told: 3 to 4 million looks at
// workers a second for steps that found no room, 500 answers a second for 1,100
// workers, 1,300 to 2,600 runs in the book that were ordered in no answer, 58
// of 100 calls unanswered, and no worker given up on while heartbeats were
// late.
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "fleet/beat-intake.h"
#include "fleet/fleet-test-world.h"

using namespace kestrelreel;

TEST_GROUP(lagging_leader) {
  test_world world;

  void setup() override { world.configure(1, 99); }
  void add_workers(int n) {
    for (int i = 0; i < n; ++i) world.beat("w" + std::to_string(1'000 + i));
  }
  /// Ticks that come half a second apart hold the leader up, each of them.
  void lag(milliseconds n) {
    constexpr milliseconds gap{500};
    for (milliseconds at{0}; at < n; at += gap) {
      world.clock.advance(gap);
      world.controller.tick();
      world.commit();
    }
  }
};

TEST(lagging_leader, gives_up_on_a_lost_worker_however_late_it_is) {
  add_workers(1);
  world.submit(7, {test_world::make_step(1)});
  world.beat("w1000");
  CHECK_FALSE(world.controller.book().runs_on(worker_id("w1000")).empty());
  // The lease of 4 s with its margin, the patience, and two turns.
  lag(milliseconds(6'500));
  CHECK_TRUE(world.controller.book().runs_on(worker_id("w1000")).empty());
}

TEST(lagging_leader, workers_call_it_less_often) {
  add_workers(1);
  world.submit(7, {test_world::make_step(1)});
  LONGS_EQUAL(200, world.beat("w1000").next_beat_ms());
  lag(milliseconds(2'000));
  LONGS_EQUAL(800, world.beat("w1000").next_beat_ms());
  world.pass(milliseconds(3'000));
  LONGS_EQUAL(200, world.beat("w1000").next_beat_ms());
}

TEST(lagging_leader, start_that_was_sent_in_no_answer_is_taken_back) {
  add_workers(2);
  world.submit(7, {test_world::make_step(1)});
  const task_key task{job_number(7), 0, 0, 0};
  const task_entry& it = *world.controller.book().find(task);
  CHECK_TRUE(it.phase == task_phase::running);
  const bool first =
      !world.controller.book().runs_on(worker_id("w1000")).empty();
  const std::string silent = first ? "w1000" : "w1001";
  const std::string other = first ? "w1001" : "w1000";
  // Its worker does not call, the other one does.
  for (int i = 0; i < 12; ++i) {
    world.pass(milliseconds(100));
    if (world.beat(other).starts_size() > 0) break;
  }
  CHECK_TRUE(world.controller.book().runs_on(worker_id(silent)).empty());
  LONGS_EQUAL(2, it.run.value());
}

TEST(lagging_leader, starts_that_were_taken_back_were_told_by_no_figure) {
  add_workers(1);
  world.submit(7, {test_world::make_step(3)});
  uint64_t& taken_back =
      world.metrics.counter("kestrelreel_starts_taken_back_total");
  world.pass(milliseconds(700));
  LONGS_EQUAL(0, taken_back);
  world.pass(milliseconds(200));
  LONGS_EQUAL(3, taken_back);
}

TEST(lagging_leader, steps_without_room_cost_a_bounded_part_of_it) {
  controller_settings settings = test_world::make_settings();
  settings.scheduling.retry_looks_per_s = 50'000;
  test_world bounded(settings);
  bounded.configure(1, 99);
  for (int i = 0; i < 200; ++i) bounded.beat("w" + std::to_string(1'000 + i));
  // Each asks for more than any worker has.
  for (uint64_t job = 1; job <= 300; ++job) {
    bounded.submit(job, {test_world::make_step(4, 5'000)});
  }
  uint64_t& looks =
      bounded.metrics.counter("kestrelreel_placement_looks_total");
  bounded.pass(milliseconds(400));
  const uint64_t before = looks;
  // Workers that did not call for longer get nothing.
  bounded.pass(milliseconds(2'000));
  // A third more, as each tick tries what came due since the last one.
  CHECK_TRUE(looks - before <= 2 * 50'000 * 4 / 3);
  CHECK_TRUE(looks > before);
}

TEST(lagging_leader, one_plan_looks_at_a_bounded_number_of_workers) {
  controller_settings settings = test_world::make_settings();
  settings.scheduling.most_plan_looks = 1'000;
  test_world bounded(settings);
  bounded.configure(1, 99);
  for (int i = 0; i < 200; ++i) bounded.beat("w" + std::to_string(1'000 + i));
  const uint64_t& looks =
      bounded.metrics.counter("kestrelreel_placement_looks_total");
  for (uint64_t job = 1; job <= 300; ++job) {
    bounded.controller.request(
        test_world::make_submit(job, {test_world::make_step(1, 5'000)}),
        [](const fleet::fleet_response&) {});
  }
  bounded.controller.settle();
  bounded.controller.applied(bounded.log.proposed.front());
  bounded.controller.settle();
  CHECK_TRUE(looks > 0);
  CHECK_TRUE(looks <= 1'200);
  CHECK_TRUE(bounded.controller.unsettled());
}

TEST(lagging_leader, one_turn_answers_a_bounded_number_of_workers) {
  const controller_settings settings;
  const int n = static_cast<int>(settings.most_answers) + 20;
  int answered = 0;
  for (int i = 0; i < n; ++i) {
    fleet::fleet_request request;
    fleet::worker_beat& beat = *request.mutable_beat();
    beat.set_worker("w" + std::to_string(i));
    beat.set_pool("pool");
    beat.set_sequence(1);
    beat.set_clock_ms(1'000);
    world.controller.request(request,
                             [&](const fleet::fleet_response&) { ++answered; });
  }
  world.controller.settle();
  LONGS_EQUAL(settings.most_answers, answered);
  CHECK_TRUE(world.controller.unsettled());
  world.controller.settle();
  LONGS_EQUAL(n, answered);
}

TEST_GROUP(held_back_calls) {
  test_clock clock;
  metrics_registry metrics;
  intake_settings settings;
  heartbeat_intake intake{settings, clock, metrics};
  std::map<std::string, fleet::worker_beat> calls;
  std::map<std::string, fleet::fleet_response> told;

  void call(const std::string& worker, bool draining = false) {
    fleet::worker_beat& it = calls[worker];
    it.set_worker(worker);
    it.set_pool("pool");
    it.set_sequence(it.sequence() + 1);
    it.set_clock_ms(static_cast<uint64_t>(clock.now().count()));
    it.set_draining(draining);
    intake.take(it, [this, worker](fleet::fleet_response response) {
      told[worker] = std::move(response);
    });
  }
  void answer(const fleet::worker_beat& beat) {
    fleet::beat_answers all;
    fleet::beat_answer& it = *all.add_answers();
    it.set_worker(beat.worker());
    it.set_sequence(beat.sequence());
    it.mutable_response()->mutable_orders()->set_hold_ms(6'000);
    intake.handle_answers(all);
  }
  /// The leader takes so long over each of its answers.
  void serve(int rounds, milliseconds delay) {
    for (int i = 0; i < rounds; ++i) {
      for (int n = 0; n < 200; ++n) call("w" + std::to_string(n));
      const fleet::beat_batch batch = intake.collect("L");
      clock.advance(delay);
      for (const auto& beat : batch.beats()) answer(beat);
    }
  }
};

TEST(held_back_calls, leader_that_answers_in_time_gets_all) {
  serve(20, milliseconds(40));
  for (int n = 0; n < 200; ++n) call("w" + std::to_string(n));
  LONGS_EQUAL(200, intake.collect("L").beats_size());
}

TEST(held_back_calls, leader_that_answers_late_gets_fewer_at_once) {
  serve(20, milliseconds(700));
  for (int n = 0; n < 200; ++n) call("w" + std::to_string(n));
  LONGS_EQUAL(settings.min_window, intake.collect("L").beats_size());
  // Those of a worker that leaves are not held back behind others.
  CHECK_FALSE(intake.has_pending_calls());
}

TEST(held_back_calls, each_worker_has_its_turn) {
  serve(20, milliseconds(700));
  std::set<std::string> served;
  for (int i = 0; i < 6; ++i) {
    for (int n = 0; n < 200; ++n) call("w" + std::to_string(n));
    const fleet::beat_batch batch = intake.collect("L");
    clock.advance(milliseconds(700));
    for (const auto& beat : batch.beats()) {
      served.insert(beat.worker());
      answer(beat);
    }
  }
  LONGS_EQUAL(200, served.size());
}

TEST(held_back_calls, those_not_passed_on_are_told_to_come_again) {
  serve(20, milliseconds(700));
  for (int n = 0; n < 200; ++n) call("w" + std::to_string(n));
  call("leaves", true);
  const int passed = intake.collect("L").beats_size();
  told.clear();
  clock.advance(settings.put_off_after);
  intake.expire();
  LONGS_EQUAL(201 - passed, told.size());
  for (const auto& [worker, it] : told) {
    LONGS_EQUAL(fleet::fleet_ok, it.status());
    LONGS_EQUAL(0, it.orders().hold_ms());
    CHECK_TRUE(it.orders().next_beat_ms() > 0);
  }
  // An acknowledgement of a leave is the leader's to give.
  CHECK_FALSE(told.contains("leaves"));
}

TEST(lagging_leader, order_in_a_dropped_answer_lost_its_precedence) {
  controller_settings settings = test_world::make_settings();
  settings.most_answers = 1;
  test_world one(settings);
  one.configure(1, 99);
  for (const char* it : {"a", "b"}) one.beat(it);
  one.submit(1, {test_world::make_step(1)});
  const std::string ordered = one.controller.book().runs().begin()->first.str();
  const std::string other = ordered == "a" ? "b" : "a";
  std::vector<std::string> answered;
  const auto call = [&](const std::string& worker) {
    fleet::worker_beat& beat = one.workers[worker];
    beat.set_sequence(beat.sequence() + 1);
    beat.set_clock_ms(static_cast<uint64_t>(one.clock.now().count()));
    fleet::fleet_request request;
    *request.mutable_beat() = beat;
    one.controller.request(request, [&answered, worker](const auto& it) {
      if (it.has_orders()) answered.push_back(worker);
    });
  };
  const auto pass = [&] { one.clock.advance(milliseconds(100)); };
  call(other);
  one.controller.settle();
  pass();
  // The worker drops this answer, which orders the start.
  call(ordered);
  one.controller.settle();
  pass();
  answered.clear();
  call(other);
  call(ordered);
  one.controller.settle();
  LONGS_EQUAL(1, answered.size());
  STRCMP_EQUAL(ordered.c_str(), answered.front().c_str());
}

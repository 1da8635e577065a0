// Calls of idle workers are held for new tasks when the call rate is low.
// Without that a task waited for its worker's next call, 1.5 s later with 6,000
// workers.
#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

#include "fleet/beat-intake.h"
#include "fleet/fleet-test-world.h"

using namespace kestrelreel;

namespace {

/// Six workers call every 600 ms, as rarely as 6,000 or more at the usual rate.
controller_settings low_call_rate() {
  controller_settings settings = test_world::make_settings();
  settings.max_heartbeats_per_s = 10;
  settings.max_idle_heartbeats_per_s = 5;
  settings.max_direct_workers = 0;
  return settings;
}

}  // namespace

TEST_GROUP(held_call) {
  test_world world{low_call_rate()};
  std::vector<fleet::beat_answer> answers;

  void setup() override {
    world.configure(1, 99);
    for (int i = 0; i < 6; ++i) world.beat("w" + std::to_string(i));
    world.pass(milliseconds(100));
  }
  /// Calls through an intake box.
  void call(const std::string& worker) {
    fleet::worker_beat& it = world.workers[worker];
    it.set_sequence(it.sequence() + 1);
    it.set_clock_ms(static_cast<uint64_t>(world.clock.now().count()));
    fleet::beat_batch batch;
    *batch.add_beats() = it;
    world.controller.take_heartbeats(batch, [this](fleet::beat_answer answer) {
      answers.push_back(std::move(answer));
    });
    world.commit();
  }
};

TEST(held_call, start_waits_for_next_call) {
  call("w0");
  LONGS_EQUAL(1, answers.size());
  CHECK_TRUE(answers[0].held());
  world.submit(1, {test_world::make_step(1)});
  LONGS_EQUAL(2, answers.size());
  CHECK_FALSE(answers[1].held());
  LONGS_EQUAL(answers[0].sequence(), answers[1].sequence());
  LONGS_EQUAL(1, answers[1].response().orders().starts_size());
}

TEST(held_call, held_call_without_task_is_answered_late) {
  call("w0");
  world.pass(milliseconds(400));
  LONGS_EQUAL(1, answers.size());
  world.pass(milliseconds(200));
  LONGS_EQUAL(2, answers.size());
  const fleet::worker_orders& orders = answers[1].response().orders();
  CHECK_TRUE(orders.hold_ms() > 0);
  // Six workers at five calls per second, less the time that the call was held.
  LONGS_EQUAL(700, orders.next_beat_ms());
}

TEST(held_call, worker_counts_as_silent_before_call_is_due) {
  controller_settings settings = low_call_rate();
  settings.leases.duration = max_lease_duration;
  settings.max_idle_heartbeats_per_s = 2;
  test_world slow(settings);
  slow.configure(1, 99);
  const auto call = [&] {
    fleet::worker_beat& it = slow.workers["w"];
    it.set_sequence(it.sequence() + 1);
    it.set_clock_ms(static_cast<uint64_t>(slow.clock.now().count()));
    fleet::beat_batch batch;
    *batch.add_beats() = it;
    slow.controller.take_heartbeats(batch, [](const fleet::beat_answer&) {});
    slow.commit();
  };
  for (int i = 0; i < 6; ++i) slow.beat("w" + std::to_string(i));
  slow.beat("w");
  slow.pass(milliseconds(400));
  call();
  // The call of w is answered after 0.5 s, and its next one is due 2.3 s later,
  // so that call is still in transit. The other workers are silent.
  slow.pass(milliseconds(3'100));
  slow.submit(1, {test_world::make_step(1)});
  LONGS_EQUAL(1, slow.controller.book().runs_on(worker_id("w")).size());
}

TEST(held_call, call_of_draining_or_busy_worker_is_held) {
  world.workers["w0"].set_draining(true);
  world.workers["w0"].set_remaining_ms(10'000);
  call("w0");
  CHECK_FALSE(answers.back().held());
  world.submit(1, {test_world::make_step(1)});
  const std::string busy = world.controller.book().runs().begin()->first.str();
  call(busy);
  CHECK_FALSE(answers.back().held());
}

TEST(held_call, held_calls_fill_intake_window) {
  test_clock clock;
  metrics_registry metrics;
  intake_settings settings;
  settings.initial_window = settings.min_window = 1;
  heartbeat_intake intake(settings, clock, metrics);
  int answered = 0;
  for (const char* worker : {"a", "b"}) {
    fleet::worker_beat beat;
    beat.set_worker(worker);
    beat.set_pool("pool");
    beat.set_sequence(1);
    beat.set_clock_ms(1);
    intake.take(beat, [&](const fleet::fleet_response&) { ++answered; });
  }
  LONGS_EQUAL(1, intake.collect("L").beats_size());
  CHECK_FALSE(intake.has_pending_calls());
  fleet::beat_answers notice;
  fleet::beat_answer& it = *notice.add_answers();
  it.set_worker("a");
  it.set_sequence(1);
  it.set_held(true);
  intake.handle_answers(notice);
  LONGS_EQUAL(0, answered);
  LONGS_EQUAL(1, intake.collect("L").beats_size());
  it.set_held(false);
  intake.handle_answers(notice);
  LONGS_EQUAL(1, answered);
}

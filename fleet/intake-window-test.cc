// Calls that a box forwards to the leader, as bounded by its window.
#include <CppUTest/TestHarness.h>

#include <optional>
#include <string>

#include "fleet/beat-intake.h"
#include "fleet/fleet-test-world.h"

using namespace kestrelreel;

TEST_GROUP(intake_window) {
  test_clock clock;
  metrics_registry metrics;
  std::optional<heartbeat_intake> box;
  std::string failed_worker;

  /// A box whose window has this size at first and at least `min`.
  void open(size_t window, size_t min) {
    intake_settings settings;
    settings.initial_window = settings.max_window = window;
    settings.min_window = min;
    box.emplace(settings, clock, metrics);
  }
  void call(const std::string& worker, uint64_t sequence) {
    fleet::worker_beat it;
    it.set_worker(worker);
    it.set_pool("pool");
    it.set_sequence(sequence);
    it.set_clock_ms(static_cast<uint64_t>(clock.now().count()));
    box->take(it, [this, worker](const fleet::fleet_response& response) {
      if (response.status() == fleet::fleet_unavailable) failed_worker = worker;
    });
  }
  static fleet::beat_answer make_answer(const std::string& worker,
                                        uint64_t sequence, bool overloaded) {
    fleet::beat_answer it;
    it.set_worker(worker);
    it.set_sequence(sequence);
    it.set_overloaded(overloaded);
    return it;
  }
  void answer(const fleet::beat_answer& it) {
    fleet::beat_answers all;
    *all.add_answers() = it;
    box->handle_answers(all);
  }
  int collect() { return box->collect("L").beats_size(); }
  void pass(int ms) {
    constexpr int step = 50;
    for (int i = 0; i < ms; i += step) {
      clock.advance(milliseconds(step));
      collect();
      box->expire();
    }
  }
};

// A worker whose calls came only while the window was full was never heard.
TEST(intake_window, worker_is_put_off_for_ever) {
  for (const bool overloaded : {false, true}) {
    open(1, 1);
    int forwarded = 0;
    for (uint64_t n = 1; n <= 10; ++n) {
      call("other", n);
      collect();
      call("starved", n);
      clock.advance(milliseconds(150));
      const fleet::beat_batch batch = box->collect("L");
      for (const auto& it : batch.beats()) {
        if (it.worker() == "starved") ++forwarded;
      }
      box->expire();
      answer(make_answer("other", n, overloaded));
      clock.advance(milliseconds(200));
    }
    CHECK_EQUAL(!overloaded, forwarded > 0);
  }
}

// A call whose whole heartbeat was requested was forwarded beyond the window.
TEST(intake_window, requested_whole_heartbeat_exceeds_window) {
  constexpr int callers = 8;
  open(callers, 1);
  clock.advance(milliseconds(10'000));
  fleet::beat_answers all;
  for (int i = 0; i < callers; ++i) {
    const std::string worker = "w" + std::to_string(i);
    call(worker, 1);
    fleet::beat_answer& it = *all.add_answers();
    it = make_answer(worker, 1, false);
    it.mutable_response()->set_wants_whole(i > 0);
  }
  LONGS_EQUAL(callers, collect());
  clock.advance(milliseconds(500));
  // The first answer is slow, so that the window shrinks.
  box->handle_answers(all);
  CHECK_TRUE(collect() < callers - 1);
}

// The message that a call is held was read as the end of the leader's overload.
TEST(intake_window, held_call_ends_overload) {
  open(1, 1);
  call("busy", 1);
  collect();
  answer(make_answer("busy", 1, true));
  call("idle", 1);
  collect();
  fleet::beat_answer held = make_answer("idle", 1, false);
  held.set_held(true);
  answer(held);
  call("other", 1);
  collect();
  for (uint64_t n = 1; n <= 10; ++n) {
    call("starved", n);
    clock.advance(milliseconds(80));
    CHECK_FALSE(box->has_pending_calls());
  }
}

// A call was forwarded in vain, beyond the window, to a leader out of reach.
TEST(intake_window, worker_waits_for_a_leader_out_of_reach) {
  open(1, 1);
  for (uint64_t round = 0; round < 2; ++round) {
    failed_worker.clear();
    for (uint64_t n = 1; n <= 3; ++n) {
      call("other", 3 * round + n);
      collect();
      pass(450);
    }
    call("back", round + 1);
    pass(150);
    STRCMP_EQUAL("back", failed_worker.c_str());
  }
}

// After some time without a leader all calls counted as overdue.
TEST(intake_window, new_leader_gets_all_calls_beyond_the_window) {
  constexpr size_t window = 4;
  open(window, window);
  for (uint64_t n = 1; n <= 4; ++n) {
    clock.advance(milliseconds(300));
    for (int i = 0; i < 20; ++i) call("w" + std::to_string(i), n);
  }
  box->leader_changed();
  LONGS_EQUAL(window, collect());
}

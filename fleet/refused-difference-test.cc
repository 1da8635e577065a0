// A worker comes back to a box that knew it before it called another one: what
// the box told the leader of it is no base for its next call.
#include <CppUTest/TestHarness.h>

#include <utility>

#include "base/clock.h"
#include "fleet/beat-intake.h"
#include "fleet/fleet-test-world.h"

using namespace kestrelreel;

TEST_GROUP(refused_difference) {
  test_clock clock;
  metrics_registry metrics;
  intake_settings settings;
  heartbeat_intake intake{settings, clock, metrics};
  uint64_t sequence = 0;
  fleet::fleet_response last;

  /// Takes the worker's next call and forwards it.
  fleet::worker_beat forward_call() {
    fleet::worker_beat beat;
    beat.set_worker("a");
    beat.set_sequence(++sequence);
    beat.set_clock_ms(static_cast<uint64_t>(clock.now().count()));
    intake.take(beat, [this](fleet::fleet_response r) { last = std::move(r); });
    const fleet::beat_batch batch = intake.collect("L");
    LONGS_EQUAL(1, batch.beats_size());
    return batch.beats(0);
  }
  void answer(uint64_t number, bool wants_whole) {
    fleet::beat_answers all;
    fleet::beat_answer& it = *all.add_answers();
    it.set_worker("a");
    it.set_sequence(number);
    it.mutable_response()->set_status(fleet::fleet_ok);
    it.mutable_response()->set_wants_whole(wants_whole);
    intake.handle_answers(all);
  }
};

// The leader refused the difference, as it had read later calls from another
// box. By the time it asked for the whole heartbeat, that gave way to the calls
// that had come since, and the worker waited unread for a second turn.
TEST(refused_difference, difference_sent_for_call_after_another_box) {
  forward_call();
  answer(sequence, false);
  clock.advance(milliseconds(200));
  CHECK_TRUE(forward_call().base() != 0);
  answer(sequence, false);
  clock.advance(milliseconds(8'000));
  sequence += 20;
  LONGS_EQUAL(0, forward_call().base());
  answer(sequence, false);
  clock.advance(milliseconds(200));
  CHECK_TRUE(forward_call().base() != 0);
}

// The box forgot that the leader had refused, as the call was over by then: its
// next difference was refused as well.
TEST(refused_difference, difference_sent_again_after_late_refusal) {
  forward_call();
  answer(sequence, false);
  clock.advance(milliseconds(200));
  CHECK_TRUE(forward_call().base() != 0);
  clock.advance(settings.answer_timeout);
  intake.expire();
  LONGS_EQUAL(fleet::fleet_unavailable, last.status());
  answer(sequence, true);
  LONGS_EQUAL(0, forward_call().base());
}

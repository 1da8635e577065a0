// Heartbeats received by a box that is not the leader: differences give the
// leader the same state as whole heartbeats, and an answer answers only the
// call that the leader read.
#include <CppUTest/TestHarness.h>

#include <optional>

#include "base/clock.h"
#include "fleet/beat-intake.h"
#include "fleet/fleet-test-world.h"
#include "fleet/intake-directory.h"

using namespace kestrelreel;

TEST_GROUP(heartbeat_intake) {
  test_clock clock;
  metrics_registry metrics;
  heartbeat_intake intake{{}, clock, metrics};
  lease_settings leases;
  worker_table table{leases, clock};
  fleet::worker_beat beat;
  int answers = 0;
  fleet::fleet_response last;

  void setup() override {
    beat.set_worker("a");
    beat.set_pool("pool");
    beat.add_labels("fast");
  }
  void call() {
    beat.set_sequence(beat.sequence() + 1);
    beat.set_clock_ms(static_cast<uint64_t>(clock.now().count()));
    intake.take(beat, [this](fleet::fleet_response r) {
      last = std::move(r);
      ++answers;
    });
  }
  fleet::running_row& add_row(uint32_t index, double reading) {
    fleet::running_row& row = *beat.add_running();
    *row.mutable_task() = to_ref({job_number(7), 0, 0, index});
    row.set_run(1);
    row.set_saved("c");
    row.set_reading(reading);
    row.set_percent(index);
    return row;
  }
  void answer(uint64_t sequence, bool wants_whole = false) {
    fleet::beat_answers all;
    fleet::beat_answer& it = *all.add_answers();
    it.set_worker("a");
    it.set_sequence(sequence);
    it.mutable_response()->set_status(fleet::fleet_ok);
    it.mutable_response()->set_wants_whole(wants_whole);
    intake.handle_answers(all);
  }
  /// Forwards the pending call to the leader.
  worker_table::arrival forward(const char* leader = "L") {
    const fleet::beat_batch batch = intake.collect(leader);
    LONGS_EQUAL(1, batch.beats_size());
    return table.receive_heartbeat(batch.beats(0));
  }
  void check_rows(const worker_view& it) {
    LONGS_EQUAL(beat.running_size(), it.rows.size());
    for (const fleet::running_row& row : beat.running()) {
      const auto& known =
          it.rows.at({to_key(row.task()), run_number(row.run())});
      DOUBLES_EQUAL(row.reading(), known.reading(), 0.001);
      LONGS_EQUAL(row.percent(), known.percent());
    }
    STRCMP_EQUAL("pool", it.beat.pool().c_str());
    LONGS_EQUAL(1, it.beat.labels_size());
  }
};

TEST(heartbeat_intake, differences_give_the_state_of_whole_heartbeats) {
  seeded_random random(5);
  uint32_t next = 0;
  for (int i = 0; i < 200; ++i) {
    clock.advance(milliseconds(450));
    const auto add = random.below(3);
    for (uint64_t n = 0; n < add; ++n) {
      add_row(next++, static_cast<double>(random.below(100)));
    }
    if (beat.running_size() > 0 && random.below(2) == 0) {
      beat.mutable_running()->DeleteSubrange(
          static_cast<int>(
              random.below(static_cast<uint64_t>(beat.running_size()))),
          1);
    }
    for (auto& row : *beat.mutable_running()) {
      row.set_reading(static_cast<double>(random.below(100)));
    }
    call();
    const auto arrival = forward();
    CHECK_TRUE(arrival.view != nullptr && arrival.timely);
    check_rows(*arrival.view);
    answer(beat.sequence());
  }
  LONGS_EQUAL(200, answers);
}

TEST(heartbeat_intake, unchanged_heartbeat_forwards_no_rows) {
  for (uint32_t i = 0; i < 20; ++i) add_row(i, 1);
  call();
  forward();
  answer(1);
  clock.advance(milliseconds(100));
  call();
  const fleet::beat_batch batch = intake.collect("L");
  LONGS_EQUAL(0, batch.beats(0).running_size());
  LONGS_EQUAL(0, batch.beats(0).readings_size());
  CHECK_TRUE(batch.ByteSizeLong() < 40);
}

TEST(heartbeat_intake, difference_without_its_base_is_rejected) {
  struct row {
    const char* name;
    bool leader_forgets;
    bool forwarded_elsewhere;
  };
  const row rows[] = {{"the leader forgot the worker", true, false},
                      {"another box forwarded a heartbeat", false, true}};
  for (const row& it : rows) {
    worker_table fresh(leases, clock);
    heartbeat_intake other({}, clock, metrics);
    beat.clear_running();
    add_row(1, 5);
    call();
    fresh.receive_heartbeat(intake.collect("L").beats(0));
    answer(beat.sequence());
    if (it.leader_forgets) fresh.clear();
    if (it.forwarded_elsewhere) {
      // A copy that is not forwarded here: the sequence shows no other box.
      call();
      fresh.receive_heartbeat(beat);
    }
    add_row(2, 6);
    call();
    CHECK_TRUE_TEXT(
        fresh.receive_heartbeat(intake.collect("L").beats(0)).wants_whole,
        it.name);
    const int before = answers;
    answer(beat.sequence(), true);
    LONGS_EQUAL_TEXT(before, answers, it.name);
    const auto arrival = fresh.receive_heartbeat(intake.collect("L").beats(0));
    CHECK_TRUE_TEXT(arrival.view != nullptr, it.name);
    check_rows(*arrival.view);
    answer(beat.sequence());
  }
}

// The leader recorded a difference's sequence before it checked that the
// readings match the rows. It then requested the whole heartbeat, and rejected
// that as overtaken because of the same sequence: the worker got no orders, the
// next difference was applied to wrong rows, and a run could go on that the
// leader did not know. No intake is known to have sent such a difference.
TEST(heartbeat_intake, requested_whole_heartbeat_rejected_for_same_sequence) {
  add_row(1, 5);
  call();
  forward();
  answer(beat.sequence());
  fleet::worker_beat mismatched;
  mismatched.set_worker("a");
  mismatched.set_base(beat.sequence());
  mismatched.set_sequence(beat.sequence() + 1);
  for (int i = 0; i < 3; ++i) {
    mismatched.add_readings(1);
    mismatched.add_percents(1);
  }
  CHECK_TRUE(table.receive_heartbeat(mismatched).wants_whole);
  // No difference may be based on the rejected one.
  fleet::worker_beat next = mismatched;
  next.set_base(mismatched.sequence());
  next.set_sequence(mismatched.sequence() + 1);
  next.clear_readings();
  next.clear_percents();
  CHECK_TRUE(table.receive_heartbeat(next).wants_whole);
  add_row(2, 6);
  call();
  LONGS_EQUAL(mismatched.sequence(), beat.sequence());
  const auto arrival = table.receive_heartbeat(beat);
  CHECK_TRUE(arrival.view != nullptr);
  check_rows(*arrival.view);
}

TEST(heartbeat_intake, new_leader_gets_whole_heartbeats) {
  add_row(1, 5);
  call();
  forward("L");
  intake.leader_changed();
  const fleet::beat_batch batch = intake.collect("M");
  LONGS_EQUAL(1, batch.beats_size());
  LONGS_EQUAL(0, batch.beats(0).base());
  LONGS_EQUAL(1, batch.beats(0).running_size());
}

TEST(heartbeat_intake, call_answered_twice_or_by_wrong_answer) {
  call();
  forward();
  call();
  // The worker's second call ends the first one.
  LONGS_EQUAL(1, answers);
  answer(1);
  LONGS_EQUAL(1, answers);
  forward();
  answer(2);
  answer(2);
  LONGS_EQUAL(2, answers);
  LONGS_EQUAL(0, intake.waiting());
}

// Heartbeats that the intake refused were only logged, and missing from the
// counter that the leader keeps.
TEST(heartbeat_intake, refused_heartbeat_missing_from_counter) {
  struct row {
    const char* name;
    int64_t sequence;
    int64_t clock_ms;
    const char* pool;
    const char* address;
    uint64_t refused;
  };
  const row rows[] = {
      {"the worker's next one", 1, 200, "pool", "place:1", 0},
      {"a duplicate", 0, 0, "pool", "place:1", 0},
      {"an overtaken heartbeat", -1, -200, "pool", "place:1", 0},
      {"a higher sequence, an older clock", 1, -200, "pool", "place:1", 1},
      {"a clock further ahead than elapsed time", 1, 90'000, "pool", "place:1",
       1},
      {"another pool", 1, 200, "other", "place:1", 1},
      {"another address", 1, 200, "pool", "place:2", 1},
  };
  for (const row& it : rows) {
    metrics_registry counters;
    heartbeat_intake box({}, clock, counters);
    fleet::worker_beat original;
    original.set_worker("b");
    original.set_pool("pool");
    original.set_address("place:1");
    original.set_sequence(50);
    original.set_clock_ms(500'000);
    const auto ignore = [](const fleet::fleet_response&) {};
    box.take(original, ignore);
    clock.advance(milliseconds(200));
    fleet::worker_beat copy = original;
    copy.set_sequence(original.sequence() + static_cast<uint64_t>(it.sequence));
    copy.set_clock_ms(original.clock_ms() + static_cast<uint64_t>(it.clock_ms));
    copy.set_pool(it.pool);
    copy.set_address(it.address);
    fleet::fleet_status status = fleet::fleet_ok;
    box.take(copy,
             [&](const fleet::fleet_response& r) { status = r.status(); });
    CHECK_EQUAL_TEXT(it.refused,
                     counters.counter("kestrelreel_heartbeats_unusable_total",
                                      {{"cause", "misfit"}}),
                     it.name);
    CHECK_EQUAL_TEXT(it.refused > 0, status == fleet::fleet_invalid, it.name);
  }
}

TEST(heartbeat_intake, unanswered_call_fails_within_a_second) {
  call();
  clock.advance(milliseconds(800));
  intake.expire();
  LONGS_EQUAL(0, answers);
  clock.advance(milliseconds(100));
  intake.expire();
  LONGS_EQUAL(1, answers);
  LONGS_EQUAL(fleet::fleet_unavailable, last.status());
  CHECK_FALSE(intake.has_pending_calls());
}

TEST_GROUP(intake_directory){};

TEST(intake_directory, workers_call_in_their_data_centre) {
  struct row {
    const char* name;
    int silent_ms;
    const char* data_centre;
    const char* address;
  };
  const row rows[] = {
      {"own data centre", 0, "demre", "2:1"},
      {"data centre of this box", 0, "kumluca", "1:1"},
      {"box of own data centre is down", 1'200, "demre", "1:1"},
  };
  for (const row& it : rows) {
    intake_directory directory(box_id("1"), data_centre_id("kumluca"), "1:1");
    fleet::box_hello hello;
    hello.set_data_centre("demre");
    hello.set_beat_address("2:1");
    const time_point now(50'000);
    directory.heard(box_id("2"), hello, now);
    STRCMP_EQUAL_TEXT(
        it.address,
        directory
            .address_for(it.data_centre, "w", now + milliseconds(it.silent_ms))
            .c_str(),
        it.name);
  }
}

TEST(intake_directory, workers_without_local_box_are_spread_over_all) {
  intake_directory directory(box_id("1"), data_centre_id("kumluca"), "1:1");
  fleet::box_hello hello;
  hello.set_data_centre("demre");
  hello.set_beat_address("2:1");
  directory.heard(box_id("2"), hello, time_point(50'000));
  std::map<std::string, int> n;
  for (int i = 0; i < 100; ++i) {
    ++n[directory.address_for("serik", std::to_string(i), time_point(50'000))];
  }
  CHECK_TRUE(n["1:1"] > 20 && n["2:1"] > 20);
}

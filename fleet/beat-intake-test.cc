// Heartbeats taken in by a box that does not lead: the leader learns the same
// from differences as from whole ones, and answers just the call it read.
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
  /// What the leader took in of all that is passed on.
  worker_table::arrival pass_on(const char* leader = "L") {
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

TEST(heartbeat_intake, differences_tell_the_same_as_whole_heartbeats) {
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
    const auto arrival = pass_on();
    CHECK_TRUE(arrival.view != nullptr && arrival.timely);
    check_rows(*arrival.view);
    answer(beat.sequence());
  }
  LONGS_EQUAL(200, answers);
}

TEST(heartbeat_intake, quiet_heartbeat_passes_on_no_rows) {
  for (uint32_t i = 0; i < 20; ++i) add_row(i, 1);
  call();
  pass_on();
  answer(1);
  clock.advance(milliseconds(100));
  call();
  const fleet::beat_batch batch = intake.collect("L");
  LONGS_EQUAL(0, batch.beats(0).running_size());
  LONGS_EQUAL(0, batch.beats(0).readings_size());
  CHECK_TRUE(batch.ByteSizeLong() < 40);
}

TEST(heartbeat_intake, leader_that_lacks_the_base_asks_for_all) {
  struct row {
    const char* name;
    bool forgets;
    bool overtaken_elsewhere;
  };
  const row rows[] = {{"it forgot the worker", true, false},
                      {"another box passed one on", false, true}};
  for (const row& it : rows) {
    worker_table fresh(leases, clock);
    heartbeat_intake other({}, clock, metrics);
    beat.clear_running();
    add_row(1, 5);
    call();
    fresh.receive_heartbeat(intake.collect("L").beats(0));
    answer(beat.sequence());
    if (it.forgets) fresh.clear();
    if (it.overtaken_elsewhere) {
      beat.set_sequence(beat.sequence() + 1);
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

// A difference whose readings fit none of the rows was answered by asking for
// all, and what then came under the same sequence was called overtaken: the
// worker got no orders, and the next difference was taken in on top of wrong
// rows, so that a run could go on that the leader knew nothing of. The sequence
// had been noted before the readings were looked at. Found by reading; no
// intake has sent such a difference.
TEST(heartbeat_intake,
     all_of_what_was_asked_for_counts_under_the_same_sequence) {
  add_row(1, 5);
  call();
  pass_on();
  answer(beat.sequence());
  fleet::worker_beat unfit;
  unfit.set_worker("a");
  unfit.set_base(beat.sequence());
  unfit.set_sequence(beat.sequence() + 1);
  for (int i = 0; i < 3; ++i) {
    unfit.add_readings(1);
    unfit.add_percents(1);
  }
  CHECK_TRUE(table.receive_heartbeat(unfit).wants_whole);
  // Nothing builds on it.
  fleet::worker_beat next = unfit;
  next.set_base(unfit.sequence());
  next.set_sequence(unfit.sequence() + 1);
  next.clear_readings();
  next.clear_percents();
  CHECK_TRUE(table.receive_heartbeat(next).wants_whole);
  add_row(2, 6);
  call();
  LONGS_EQUAL(unfit.sequence(), beat.sequence());
  const auto arrival = table.receive_heartbeat(beat);
  CHECK_TRUE(arrival.view != nullptr);
  check_rows(*arrival.view);
}

TEST(heartbeat_intake, another_leader_is_told_all_of_what_waits) {
  add_row(1, 5);
  call();
  pass_on("L");
  intake.leader_changed();
  const fleet::beat_batch batch = intake.collect("M");
  LONGS_EQUAL(1, batch.beats_size());
  LONGS_EQUAL(0, batch.beats(0).base());
  LONGS_EQUAL(1, batch.beats(0).running_size());
}

TEST(heartbeat_intake, each_call_is_answered_once_and_only_by_its_own_answer) {
  call();
  pass_on();
  call();
  // The earlier call is over: the worker made another one.
  LONGS_EQUAL(1, answers);
  answer(1);
  LONGS_EQUAL(1, answers);
  pass_on();
  answer(2);
  answer(2);
  LONGS_EQUAL(2, answers);
  LONGS_EQUAL(0, intake.waiting());
}

// Told in the log alone before, so that what was refused here was missing from
// the counter that the leader keeps.
TEST(heartbeat_intake, heartbeats_refused_here_are_counted_by_cause) {
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
      {"the same again", 0, 0, "pool", "place:1", 0},
      {"one that was overtaken", -1, -200, "pool", "place:1", 0},
      {"a higher sequence, an older clock", 1, -200, "pool", "place:1", 1},
      {"a clock further ahead than time", 1, 90'000, "pool", "place:1", 1},
      {"another pool", 1, 200, "other", "place:1", 1},
      {"another address", 1, 200, "pool", "place:2", 1},
  };
  for (const row& it : rows) {
    metrics_registry counted;
    heartbeat_intake box({}, clock, counted);
    fleet::worker_beat own;
    own.set_worker("b");
    own.set_pool("pool");
    own.set_address("place:1");
    own.set_sequence(50);
    own.set_clock_ms(500'000);
    const auto ignore = [](const fleet::fleet_response&) {};
    box.take(own, ignore);
    clock.advance(milliseconds(200));
    fleet::worker_beat copy = own;
    copy.set_sequence(own.sequence() + static_cast<uint64_t>(it.sequence));
    copy.set_clock_ms(own.clock_ms() + static_cast<uint64_t>(it.clock_ms));
    copy.set_pool(it.pool);
    copy.set_address(it.address);
    fleet::fleet_status status = fleet::fleet_ok;
    box.take(copy,
             [&](const fleet::fleet_response& r) { status = r.status(); });
    CHECK_EQUAL_TEXT(it.refused,
                     counted.counter("kestrelreel_heartbeats_unusable_total",
                                     {{"cause", "misfit"}}),
                     it.name);
    CHECK_EQUAL_TEXT(it.refused > 0, status == fleet::fleet_invalid, it.name);
  }
}

TEST(heartbeat_intake, call_without_an_answer_is_given_up_within_a_second) {
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

TEST(intake_directory, workers_call_in_their_own_data_centre) {
  struct row {
    const char* name;
    int silent_ms;
    const char* data_centre;
    const char* address;
  };
  const row rows[] = {
      {"its own", 0, "demre", "2:1"},
      {"this box's", 0, "kumluca", "1:1"},
      {"its own is down", 1'200, "demre", "1:1"},
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

TEST(intake_directory, data_centre_without_a_box_is_spread_over_all) {
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

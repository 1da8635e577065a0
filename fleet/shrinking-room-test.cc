// A worker whose room shrank was given starts for the room that it had.
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>

#include "base/text.h"
#include "fleet/cancelled-test-world.h"

using namespace kestrelreel;
using cancelled::boxes;
using cancelled::call_pause;
using cancelled::road;

namespace {

/// How the worker is reached, and whether it refuses what doesn't fit.
struct row {
  const char* name;
  road calls_by;
  bool guards;
};

const row rows[] = {
    {"at the leader", road::direct, false},
    {"at the leader, guarded", road::direct, true},
    {"through another box", road::intake, false},
    {"through another box, guarded", road::intake, true},
};

/// A worker of four processors that runs what it is told.
class roomy_worker {
 public:
  roomy_worker(boxes& all, road calls_by) : boxes_(all), road_(calls_by) {
    beat_.set_worker("w");
    beat_.set_pool("pool");
    beat_.set_address("w:1");
    set_room(4'000);
    beat_.set_memory_mb(1'000);
  }

  void set_room(uint64_t cpu_milli) { beat_.set_cpu_milli(cpu_milli); }
  fleet::worker_orders call() {
    beat_.set_sequence(beat_.sequence() + 1);
    beat_.set_clock_ms(static_cast<uint64_t>(boxes_.clock.now().count()));
    const fleet::worker_orders orders = send();
    if (orders.hold_ms() == 0) return orders;
    while (!beat_.ended().empty() &&
           beat_.ended(0).number() <= orders.last_end()) {
      beat_.mutable_ended()->DeleteSubrange(0, 1);
    }
    if (!deaf) {
      for (const fleet::start_order& start : orders.starts()) {
        fleet::running_row& added = *beat_.add_running();
        *added.mutable_task() = start.task();
        added.set_run(start.run());
      }
    }
    return orders;
  }
  void call_for(milliseconds n) {
    for (milliseconds at{0}; at < n; at += call_pause) {
      call();
      boxes_.pass(call_pause);
    }
  }
  void end_one() {
    fleet::run_end& end = *beat_.add_ended();
    end.set_number(++ends_);
    *end.mutable_task() = beat_.running(0).task();
    end.set_run(beat_.running(0).run());
    end.set_outcome(fleet::run_done);
    beat_.mutable_running()->DeleteSubrange(0, 1);
  }
  fleet::worker_beat& beat() { return beat_; }

  /// It drops its answers' starts.
  bool deaf = false;

 private:
  fleet::worker_orders send() {
    if (road_ == road::intake) return boxes_.pass_on(beat_).orders();
    fleet::fleet_request request;
    *request.mutable_beat() = beat_;
    return boxes_.ask(request).orders();
  }

  boxes& boxes_;
  road road_;
  fleet::worker_beat beat_;
  uint64_t ends_ = 0;
};

void configure(boxes& all, bool guards) {
  fleet::fleet_request request;
  *request.mutable_put_config() = test_world::make_config(2);
  request.mutable_put_config()->mutable_pools(0)->set_guards_capacity(guards);
  all.ask(request);
}

void submit(boxes& all, uint64_t job, uint32_t tasks) {
  all.ask(test_world::make_submit(job, {test_world::make_step(tasks)}));
}

}  // namespace

TEST_GROUP(shrinking_room){};

TEST(shrinking_room, is_filled_no_further_than_it_is) {
  for (const row& it : rows) {
    boxes all;
    configure(all, it.guards);
    roomy_worker worker(all, it.calls_by);
    worker.call();
    submit(all, 1, 2);
    worker.call_for(milliseconds(400));
    LONGS_EQUAL_TEXT(2, worker.beat().running_size(), it.name);
    worker.set_room(2'000);
    worker.call();
    submit(all, 2, 2);
    worker.call_for(milliseconds(1'000));
    LONGS_EQUAL_TEXT(2, worker.beat().running_size(), it.name);
    worker.end_one();
    worker.call_for(milliseconds(1'000));
    LONGS_EQUAL_TEXT(2, worker.beat().running_size(), it.name);
    worker.set_room(4'000);
    worker.call_for(milliseconds(1'000));
    LONGS_EQUAL_TEXT(3, worker.beat().running_size(), it.name);
  }
}

TEST(shrinking_room, below_what_runs_there_takes_nothing_and_grows_again) {
  for (const row& it : rows) {
    boxes all;
    configure(all, it.guards);
    roomy_worker worker(all, it.calls_by);
    worker.call();
    submit(all, 1, 4);
    worker.call_for(milliseconds(400));
    LONGS_EQUAL_TEXT(4, worker.beat().running_size(), it.name);
    worker.set_room(1'000);
    submit(all, 2, 4);
    worker.call_for(milliseconds(1'000));
    LONGS_EQUAL_TEXT(4, worker.beat().running_size(), it.name);
    worker.end_one();
    worker.end_one();
    worker.call_for(milliseconds(1'000));
    LONGS_EQUAL_TEXT(2, worker.beat().running_size(), it.name);
    worker.set_room(4'000);
    worker.call_for(milliseconds(1'000));
    LONGS_EQUAL_TEXT(4, worker.beat().running_size(), it.name);
  }
}

// The order was placed before, and the answer with it was dropped.
TEST(shrinking_room, order_that_no_longer_fits_is_not_sent_again) {
  for (const row& it : rows) {
    boxes all;
    configure(all, it.guards);
    roomy_worker worker(all, it.calls_by);
    worker.call();
    submit(all, 1, 3);
    worker.call_for(milliseconds(400));
    worker.deaf = true;
    submit(all, 2, 1);
    worker.call_for(milliseconds(400));
    worker.deaf = false;
    worker.set_room(3'000);
    for (int i = 0; i < 15; ++i) {
      LONGS_EQUAL_TEXT(0, worker.call().starts_size(), it.name);
      all.pass(call_pause);
    }
    LONGS_EQUAL_TEXT(3, worker.beat().running_size(), it.name);
    worker.end_one();
    worker.call_for(milliseconds(1'000));
    LONGS_EQUAL_TEXT(3, worker.beat().running_size(), it.name);
  }
}

// A worker that was silent for long may list what was given up on.
TEST(shrinking_room, run_that_was_given_up_on_takes_room_until_it_ends) {
  boxes all;
  configure(all, false);
  roomy_worker worker(all, road::direct);
  worker.call();
  submit(all, 1, 3);
  worker.call_for(milliseconds(400));
  LONGS_EQUAL(3, worker.beat().running_size());
  all.pass(milliseconds(9'000));
  for (int i = 0; i < 8; ++i) {
    worker.call();
    CHECK_TRUE(worker.beat().running_size() <= 4);
    all.pass(call_pause);
  }
}

namespace {

/// When the room shrinks, seen from the leader's change.
enum class shrinks { before, meanwhile, after };

/// How far a room of four processors shrinks while two runs are listed and two
/// starts are on their way.
struct change {
  const char* name;
  shrinks when;
  uint64_t cpu_milli;
};

const change changes[] = {
    {"before, by one", shrinks::before, 3'000},
    {"before, by two", shrinks::before, 2'000},
    {"before, below what runs", shrinks::before, 1'000},
    {"meanwhile, by one", shrinks::meanwhile, 3'000},
    {"meanwhile, by two", shrinks::meanwhile, 2'000},
    {"meanwhile, below what runs", shrinks::meanwhile, 1'000},
    {"after, by one", shrinks::after, 3'000},
    {"after, by two", shrinks::after, 2'000},
    {"after, below what runs", shrinks::after, 1'000},
};

void shrink_around_a_change(boxes& all, roomy_worker& worker,
                            const change& it) {
  worker.deaf = true;
  submit(all, 2, 2);
  worker.call_for(milliseconds(400));
  const auto shrink_at = [&](shrinks when) {
    if (it.when != when) return;
    worker.set_room(it.cpu_milli);
    if (when != shrinks::meanwhile) worker.call();
  };
  shrink_at(shrinks::before);
  all.elect(1);
  shrink_at(shrinks::meanwhile);
  if (it.when == shrinks::after) worker.call();
  shrink_at(shrinks::after);
  worker.deaf = false;
}

}  // namespace

// The leader that ordered the starts is gone, and a burst waits.
TEST(shrinking_room, next_leader_sends_no_earlier_start_that_no_longer_fits) {
  for (const row& it : rows) {
    for (const change& c : changes) {
      const std::string name = str_cat(it.name, ", ", c.name);
      boxes all;
      configure(all, it.guards);
      roomy_worker worker(all, it.calls_by);
      worker.call();
      submit(all, 1, 2);
      worker.call_for(milliseconds(400));
      LONGS_EQUAL_TEXT(2, worker.beat().running_size(), name.c_str());
      shrink_around_a_change(all, worker, c);
      submit(all, 3, 4);
      const int room = static_cast<int>(c.cpu_milli / 1'000);
      for (int i = 0; i < 40; ++i) {
        worker.call();
        CHECK_TRUE_TEXT(worker.beat().running_size() <= std::max(room, 2),
                        name.c_str());
        all.pass(call_pause);
      }
      LONGS_EQUAL_TEXT(std::max(room, 2), worker.beat().running_size(),
                       name.c_str());
      worker.set_room(4'000);
      worker.call_for(milliseconds(1'000));
      LONGS_EQUAL_TEXT(4, worker.beat().running_size(), name.c_str());
    }
  }
}

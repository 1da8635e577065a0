// Guards against starts beyond the capacity of a worker whose capacity shrank.
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>

#include "base/text.h"
#include "fleet/cancelled-test-world.h"

using namespace kestrelreel;
using cancelled::control_boxes;
using cancelled::heartbeat_interval;
using cancelled::heartbeat_route;

namespace {

/// How heartbeats reach the leader, and whether the pool enforces capacity.
struct row {
  const char* name;
  heartbeat_route route;
  bool enforces_capacity;
};

const row rows[] = {
    {"at the leader", heartbeat_route::direct, false},
    {"at the leader, enforced", heartbeat_route::direct, true},
    {"through another box", heartbeat_route::intake, false},
    {"through another box, enforced", heartbeat_route::intake, true},
};

/// A worker of four processors that carries out its start orders.
class resizable_worker {
 public:
  resizable_worker(control_boxes& boxes, heartbeat_route route)
      : boxes_(boxes), route_(route) {
    beat_.set_worker("w");
    beat_.set_pool("pool");
    beat_.set_address("w:1");
    set_cpu(4'000);
    beat_.set_memory_mb(1'000);
  }

  void set_cpu(uint64_t cpu_milli) { beat_.set_cpu_milli(cpu_milli); }
  fleet::worker_orders send_heartbeat() {
    beat_.set_sequence(beat_.sequence() + 1);
    beat_.set_clock_ms(static_cast<uint64_t>(boxes_.clock.now().count()));
    const fleet::worker_orders orders = send();
    if (orders.hold_ms() == 0) return orders;
    while (!beat_.ended().empty() &&
           beat_.ended(0).number() <= orders.last_end()) {
      beat_.mutable_ended()->DeleteSubrange(0, 1);
    }
    if (!drops_starts) {
      for (const fleet::start_order& start : orders.starts()) {
        fleet::running_row& added = *beat_.add_running();
        *added.mutable_task() = start.task();
        added.set_run(start.run());
      }
    }
    return orders;
  }
  void send_heartbeats_for(milliseconds n) {
    for (milliseconds at{0}; at < n; at += heartbeat_interval) {
      send_heartbeat();
      boxes_.pass(heartbeat_interval);
    }
  }
  void end_one_run() {
    fleet::run_end& end = *beat_.add_ended();
    end.set_number(++ends_);
    *end.mutable_task() = beat_.running(0).task();
    end.set_run(beat_.running(0).run());
    end.set_outcome(fleet::run_done);
    beat_.mutable_running()->DeleteSubrange(0, 1);
  }
  fleet::worker_beat& beat() { return beat_; }

  /// Ignores the start orders in answers.
  bool drops_starts = false;

 private:
  fleet::worker_orders send() {
    if (route_ == heartbeat_route::intake)
      return boxes_.forward(beat_).orders();
    fleet::fleet_request request;
    *request.mutable_beat() = beat_;
    return boxes_.ask(request).orders();
  }

  control_boxes& boxes_;
  heartbeat_route route_;
  fleet::worker_beat beat_;
  uint64_t ends_ = 0;
};

void configure(control_boxes& boxes, bool enforces_capacity) {
  fleet::fleet_request request;
  *request.mutable_put_config() = test_world::make_config(2);
  request.mutable_put_config()->mutable_pools(0)->set_guards_capacity(
      enforces_capacity);
  boxes.ask(request);
}

void submit(control_boxes& boxes, uint64_t job, uint32_t tasks) {
  boxes.ask(test_world::make_submit(job, {test_world::make_step(tasks)}));
}

}  // namespace

TEST_GROUP(shrinking_room){};

TEST(shrinking_room, is_not_filled_beyond_the_reduced_capacity) {
  for (const row& it : rows) {
    control_boxes boxes;
    configure(boxes, it.enforces_capacity);
    resizable_worker worker(boxes, it.route);
    worker.send_heartbeat();
    submit(boxes, 1, 2);
    worker.send_heartbeats_for(milliseconds(400));
    LONGS_EQUAL_TEXT(2, worker.beat().running_size(), it.name);
    worker.set_cpu(2'000);
    worker.send_heartbeat();
    submit(boxes, 2, 2);
    worker.send_heartbeats_for(milliseconds(1'000));
    LONGS_EQUAL_TEXT(2, worker.beat().running_size(), it.name);
    worker.end_one_run();
    worker.send_heartbeats_for(milliseconds(1'000));
    LONGS_EQUAL_TEXT(2, worker.beat().running_size(), it.name);
    worker.set_cpu(4'000);
    worker.send_heartbeats_for(milliseconds(1'000));
    LONGS_EQUAL_TEXT(3, worker.beat().running_size(), it.name);
  }
}

TEST(shrinking_room, below_the_running_tasks_gets_no_starts_until_it_grows) {
  for (const row& it : rows) {
    control_boxes boxes;
    configure(boxes, it.enforces_capacity);
    resizable_worker worker(boxes, it.route);
    worker.send_heartbeat();
    submit(boxes, 1, 4);
    worker.send_heartbeats_for(milliseconds(400));
    LONGS_EQUAL_TEXT(4, worker.beat().running_size(), it.name);
    worker.set_cpu(1'000);
    submit(boxes, 2, 4);
    worker.send_heartbeats_for(milliseconds(1'000));
    LONGS_EQUAL_TEXT(4, worker.beat().running_size(), it.name);
    worker.end_one_run();
    worker.end_one_run();
    worker.send_heartbeats_for(milliseconds(1'000));
    LONGS_EQUAL_TEXT(2, worker.beat().running_size(), it.name);
    worker.set_cpu(4'000);
    worker.send_heartbeats_for(milliseconds(1'000));
    LONGS_EQUAL_TEXT(4, worker.beat().running_size(), it.name);
  }
}

// The task was placed before the capacity shrank, and the answer with its start
// was dropped.
TEST(shrinking_room, order_that_no_longer_fits_is_not_sent_again) {
  for (const row& it : rows) {
    control_boxes boxes;
    configure(boxes, it.enforces_capacity);
    resizable_worker worker(boxes, it.route);
    worker.send_heartbeat();
    submit(boxes, 1, 3);
    worker.send_heartbeats_for(milliseconds(400));
    worker.drops_starts = true;
    submit(boxes, 2, 1);
    worker.send_heartbeats_for(milliseconds(400));
    worker.drops_starts = false;
    worker.set_cpu(3'000);
    for (int i = 0; i < 15; ++i) {
      LONGS_EQUAL_TEXT(0, worker.send_heartbeat().starts_size(), it.name);
      boxes.pass(heartbeat_interval);
    }
    LONGS_EQUAL_TEXT(3, worker.beat().running_size(), it.name);
    worker.end_one_run();
    worker.send_heartbeats_for(milliseconds(1'000));
    LONGS_EQUAL_TEXT(3, worker.beat().running_size(), it.name);
  }
}

// A worker that was silent for long may list runs that were declared lost.
TEST(shrinking_room, run_declared_lost_takes_capacity_until_it_ends) {
  control_boxes boxes;
  configure(boxes, false);
  resizable_worker worker(boxes, heartbeat_route::direct);
  worker.send_heartbeat();
  submit(boxes, 1, 3);
  worker.send_heartbeats_for(milliseconds(400));
  LONGS_EQUAL(3, worker.beat().running_size());
  boxes.pass(milliseconds(9'000));
  for (int i = 0; i < 8; ++i) {
    worker.send_heartbeat();
    CHECK_TRUE(worker.beat().running_size() <= 4);
    boxes.pass(heartbeat_interval);
  }
}

namespace {

/// When the capacity shrinks, relative to the change of leader.
enum class shrink_time { before, meanwhile, after };

/// How far a capacity of four processors shrinks while two runs are listed and
/// two starts are in flight.
struct capacity_change {
  const char* name;
  shrink_time when;
  uint64_t cpu_milli;
};

const capacity_change capacity_changes[] = {
    {"before, by one", shrink_time::before, 3'000},
    {"before, by two", shrink_time::before, 2'000},
    {"before, below what runs", shrink_time::before, 1'000},
    {"meanwhile, by one", shrink_time::meanwhile, 3'000},
    {"meanwhile, by two", shrink_time::meanwhile, 2'000},
    {"meanwhile, below what runs", shrink_time::meanwhile, 1'000},
    {"after, by one", shrink_time::after, 3'000},
    {"after, by two", shrink_time::after, 2'000},
    {"after, below what runs", shrink_time::after, 1'000},
};

void shrink_around_leader_change(control_boxes& boxes, resizable_worker& worker,
                                 const capacity_change& it) {
  worker.drops_starts = true;
  submit(boxes, 2, 2);
  worker.send_heartbeats_for(milliseconds(400));
  const auto shrink_at = [&](shrink_time when) {
    if (it.when != when) return;
    worker.set_cpu(it.cpu_milli);
    if (when != shrink_time::meanwhile) worker.send_heartbeat();
  };
  shrink_at(shrink_time::before);
  boxes.elect(1);
  shrink_at(shrink_time::meanwhile);
  if (it.when == shrink_time::after) worker.send_heartbeat();
  shrink_at(shrink_time::after);
  worker.drops_starts = false;
}

}  // namespace

// The leader that ordered the starts has failed, and more tasks are pending.
TEST(shrinking_room, next_leader_sends_no_earlier_start_that_no_longer_fits) {
  for (const row& it : rows) {
    for (const capacity_change& change : capacity_changes) {
      const std::string name = str_cat(it.name, ", ", change.name);
      control_boxes boxes;
      configure(boxes, it.enforces_capacity);
      resizable_worker worker(boxes, it.route);
      worker.send_heartbeat();
      submit(boxes, 1, 2);
      worker.send_heartbeats_for(milliseconds(400));
      LONGS_EQUAL_TEXT(2, worker.beat().running_size(), name.c_str());
      shrink_around_leader_change(boxes, worker, change);
      submit(boxes, 3, 4);
      const int processors = static_cast<int>(change.cpu_milli / 1'000);
      for (int i = 0; i < 40; ++i) {
        worker.send_heartbeat();
        CHECK_TRUE_TEXT(worker.beat().running_size() <= std::max(processors, 2),
                        name.c_str());
        boxes.pass(heartbeat_interval);
      }
      LONGS_EQUAL_TEXT(std::max(processors, 2), worker.beat().running_size(),
                       name.c_str());
      worker.set_cpu(4'000);
      worker.send_heartbeats_for(milliseconds(1'000));
      LONGS_EQUAL_TEXT(4, worker.beat().running_size(), name.c_str());
    }
  }
}

// Heartbeats that another sender writes under a worker's id, once or repeatedly
// and interleaved with the worker's own, must not change the leader's view.
//
// An intake box forwarded a copy with an older sequence to the leader as the
// base of later differences. A copy with an unknown pool made the worker's own
// pending call end without orders. No log of a deployment shows either failure.
#include <CppUTest/TestHarness.h>

#include <functional>
#include <string>

#include "fleet/cancelled-test-world.h"

using namespace kestrelreel;
using cancelled::control_boxes;
using cancelled::heartbeat_route;

namespace {

constexpr uint64_t born = 1'768'000'100'000;
constexpr int64_t first_clock_ms = 500'000;
constexpr milliseconds call_interval{200};

/// The real worker: it starts the runs that it is ordered and never ends them.
class real_worker {
 public:
  real_worker(control_boxes& all, heartbeat_route calls_via)
      : boxes_(all), route_(calls_via) {
    beat_.set_worker("i-1");
    beat_.set_born(born);
    beat_.set_pool("pool");
    beat_.set_address("place:1");
    beat_.set_cpu_milli(4'000);
    beat_.set_memory_mb(1'000);
  }
  fleet::worker_orders call() {
    beat_.set_sequence(beat_.sequence() + 1);
    beat_.set_clock_ms(
        static_cast<uint64_t>(first_clock_ms + boxes_.clock.now().count()));
    const fleet::worker_orders orders = send(beat_).orders();
    for (const fleet::start_order& start : orders.starts()) {
      fleet::running_row& row = *beat_.add_running();
      *row.mutable_task() = start.task();
      row.set_run(start.run());
    }
    return orders;
  }
  fleet::fleet_response send(const fleet::worker_beat& beat) {
    if (route_ == heartbeat_route::intake) return boxes_.forward(beat);
    fleet::fleet_request request;
    *request.mutable_beat() = beat;
    return boxes_.ask(request);
  }
  const fleet::worker_beat& beat() const { return beat_; }

 private:
  control_boxes& boxes_;
  heartbeat_route route_;
  fleet::worker_beat beat_;
};

/// A change that the other sender makes to a copy of the worker's last
/// heartbeat.
struct row {
  const char* name;
  std::function<void(fleet::worker_beat&)> change;
};

const row rows[] = {
    {"an unknown pool",
     [](auto& it) {
       it.set_pool("none");
       it.set_sequence(it.sequence() + 1);
     }},
    {"another known pool",
     [](auto& it) {
       it.set_pool("other");
       it.set_sequence(it.sequence() + 1);
     }},
    {"an older heartbeat again",
     [](auto& it) {
       it.set_sequence(1);
       it.set_clock_ms(first_clock_ms + 100'000);
       it.clear_running();
     }},
    {"a clock far ahead",
     [](auto& it) {
       it.set_sequence(it.sequence() + 1'000'000);
       it.set_clock_ms(it.clock_ms() + 10'000'000);
       it.clear_running();
     }},
    {"a higher sequence, an older clock",
     [](auto& it) {
       it.set_sequence(it.sequence() + 1'000'000);
       it.set_clock_ms(it.clock_ms() - 10'000);
       it.clear_running();
     }},
    {"no start time",
     [](auto& it) {
       it.clear_born();
       it.set_sequence(it.sequence() + 1);
       it.clear_running();
     }},
    {"no start time, and far ahead",
     [](auto& it) {
       it.clear_born();
       it.set_sequence(it.sequence() + 1'000'000);
       it.set_clock_ms(it.clock_ms() + 10'000'000);
     }},
};

}  // namespace

TEST_GROUP(other_writer){
    static void configure(control_boxes & all){fleet::fleet_request request;
fleet::fleet_config& config = *request.mutable_put_config();
config = test_world::make_config(2);
config.add_pools()->set_name("other");
all.ask(request);
}
static void start_two_runs(control_boxes& all, real_worker& it) {
  it.call();
  fleet::step_spec long_running_step = test_world::make_step(1);
  long_running_step.set_long_running(true);
  all.ask(test_world::make_submit(2, {test_world::make_step(1)}));
  all.ask(test_world::make_submit(3, {long_running_step}));
  for (int i = 0; i < 4; ++i) {
    all.pass(call_interval);
    it.call();
  }
  LONGS_EQUAL(2, it.beat().running_size());
}
/// The worker's next call is answered as if there were no copy.
static void check_next_call(real_worker& it, const char* name) {
  const fleet::worker_orders orders = it.call();
  CHECK_TRUE_TEXT(orders.hold_ms() > 0, name);
  LONGS_EQUAL_TEXT(0, orders.starts_size(), name);
  LONGS_EQUAL_TEXT(0, orders.stops_size(), name);
  LONGS_EQUAL_TEXT(2, it.beat().running_size(), name);
}
}
;

TEST(other_writer, copy_under_a_workers_id_changes_state) {
  for (const heartbeat_route by :
       {heartbeat_route::direct, heartbeat_route::intake}) {
    for (const row& it : rows) {
      control_boxes all;
      configure(all);
      real_worker worker(all, by);
      start_two_runs(all, worker);
      for (int i = 0; i < 25; ++i) {
        fleet::worker_beat copy = worker.beat();
        it.change(copy);
        const fleet::fleet_response response = worker.send(copy);
        LONGS_EQUAL_TEXT(0, response.orders().hold_ms(), it.name);
        all.pass(call_interval);
        check_next_call(worker, it.name);
      }
      LONGS_EQUAL_TEXT(1, all.book().runs().size(), it.name);
    }
  }
}

// The worker's own call is pending when the copy arrives.
TEST(other_writer, copy_ends_the_workers_pending_call) {
  for (const row& it : rows) {
    test_clock clock;
    metrics_registry metrics;
    heartbeat_intake intake({}, clock, metrics);
    fleet::worker_beat beat;
    beat.set_worker("i-1");
    beat.set_born(born);
    beat.set_pool("pool");
    beat.set_address("place:1");
    beat.set_sequence(7);
    beat.set_clock_ms(first_clock_ms + 120'000);
    fleet::fleet_response worker_response;
    int answers = 0;
    intake.take(beat, [&](const fleet::fleet_response& response) {
      worker_response = response;
      ++answers;
    });
    fleet::worker_beat copy = beat;
    it.change(copy);
    intake.take(copy, [](const fleet::fleet_response&) {});
    LONGS_EQUAL_TEXT(0, answers, it.name);
    const fleet::beat_batch batch = intake.collect("leader");
    fleet::beat_answers from_leader;
    for (const fleet::worker_beat& forwarded : batch.beats()) {
      fleet::beat_answer& answer = *from_leader.add_answers();
      answer.set_worker(incarnation_of(forwarded).str());
      answer.set_sequence(forwarded.sequence());
      answer.mutable_response()->mutable_orders()->set_hold_ms(
          forwarded.sequence() == 7 && forwarded.born() == born ? 1 : 2);
    }
    intake.handle_answers(from_leader);
    LONGS_EQUAL_TEXT(1, answers, it.name);
    LONGS_EQUAL_TEXT(1, worker_response.orders().hold_ms(), it.name);
  }
}

TEST(other_writer, unknown_id_with_unknown_pool_is_accepted) {
  for (const heartbeat_route by :
       {heartbeat_route::direct, heartbeat_route::intake}) {
    control_boxes all;
    configure(all);
    real_worker worker(all, by);
    start_two_runs(all, worker);
    fleet::worker_beat unknown_worker = worker.beat();
    unknown_worker.set_worker("i-2");
    unknown_worker.set_pool("none");
    for (int i = 0; i < 10; ++i) {
      unknown_worker.set_sequence(unknown_worker.sequence() + 1);
      unknown_worker.set_clock_ms(unknown_worker.clock_ms() + 200);
      LONGS_EQUAL(fleet::fleet_invalid, worker.send(unknown_worker).status());
      all.pass(call_interval);
      check_next_call(worker, "next to an unknown worker");
    }
    LONGS_EQUAL(1, all.leader().workers().views().size());
  }
}

// A copy is accepted as the worker's next call. The worker's own later
// heartbeat takes precedence by its clock, although its sequence is lower.
TEST(other_writer, sequence_of_copy_blocks_the_worker) {
  for (const heartbeat_route by :
       {heartbeat_route::direct, heartbeat_route::intake}) {
    control_boxes all;
    configure(all);
    real_worker worker(all, by);
    start_two_runs(all, worker);
    fleet::worker_beat copy = worker.beat();
    copy.set_sequence(copy.sequence() + 1'000'000);
    worker.send(copy);
    for (int i = 0; i < 10; ++i) {
      all.pass(call_interval);
      check_next_call(worker, "after a copy with a higher sequence");
    }
  }
}

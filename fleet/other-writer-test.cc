// Heartbeats that another writer sent under a worker's id, once or for seconds
// and in turn with the worker's own: they change nothing of what is believed.
//
// Found by reading and by this test, no log shows it. Through a control box
// that passes heartbeats on, a copy with an older sequence was told to the
// leader as the state that later differences build on; a copy of which the
// service was not known made the worker's own waiting call end without orders.
#include <CppUTest/TestHarness.h>

#include <functional>
#include <string>

#include "fleet/cancelled-test-world.h"

using namespace kestrelreel;
using cancelled::control_boxes;
using cancelled::heartbeat_route;

namespace {

constexpr uint64_t born = 1'768'000'100'000;
constexpr int64_t first_clock = 500'000;
constexpr milliseconds call_pause{200};

/// A worker that runs what it is told, and does not end it.
class true_worker {
 public:
  true_worker(control_boxes& all, heartbeat_route route)
      : boxes_(all), route_(route) {
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
        static_cast<uint64_t>(first_clock + boxes_.clock.now().count()));
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

/// What the other writer makes of a copy of the worker's last heartbeat.
struct row {
  const char* name;
  std::function<void(fleet::worker_beat&)> change;
};

const row rows[] = {
    {"a pool that is not named",
     [](auto& it) {
       it.set_pool("none");
       it.set_sequence(it.sequence() + 1);
     }},
    {"a pool of others",
     [](auto& it) {
       it.set_pool("other");
       it.set_sequence(it.sequence() + 1);
     }},
    {"an older one again",
     [](auto& it) {
       it.set_sequence(1);
       it.set_clock_ms(first_clock + 100'000);
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
    {"no birth",
     [](auto& it) {
       it.clear_born();
       it.set_sequence(it.sequence() + 1);
       it.clear_running();
     }},
    {"no birth, and far ahead",
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
static void run_two(control_boxes& all, true_worker& it) {
  it.call();
  fleet::step_spec lasting = test_world::make_step(1);
  lasting.set_long_running(true);
  all.ask(test_world::make_submit(2, {test_world::make_step(1)}));
  all.ask(test_world::make_submit(3, {lasting}));
  for (int i = 0; i < 4; ++i) {
    all.pass(call_pause);
    it.call();
  }
  LONGS_EQUAL(2, it.beat().running_size());
}
/// The worker's call goes on from where it was.
static void goes_on(true_worker& it, const char* name) {
  const fleet::worker_orders orders = it.call();
  CHECK_TRUE_TEXT(orders.hold_ms() > 0, name);
  LONGS_EQUAL_TEXT(0, orders.starts_size(), name);
  LONGS_EQUAL_TEXT(0, orders.stops_size(), name);
  LONGS_EQUAL_TEXT(2, it.beat().running_size(), name);
}
}
;

TEST(other_writer, copies_under_a_workers_id_change_nothing) {
  for (const heartbeat_route by :
       {heartbeat_route::direct, heartbeat_route::intake}) {
    for (const row& it : rows) {
      control_boxes all;
      configure(all);
      true_worker worker(all, by);
      run_two(all, worker);
      for (int i = 0; i < 25; ++i) {
        fleet::worker_beat copy = worker.beat();
        it.change(copy);
        const fleet::fleet_response response = worker.send(copy);
        LONGS_EQUAL_TEXT(0, response.orders().hold_ms(), it.name);
        all.pass(call_pause);
        goes_on(worker, it.name);
      }
      LONGS_EQUAL_TEXT(1, all.book().runs().size(), it.name);
    }
  }
}

// The worker's own call waits for its answer when the copy comes.
TEST(other_writer, call_that_waits_is_answered_all_the_same) {
  for (const row& it : rows) {
    test_clock clock;
    metrics_registry metrics;
    beat_intake intake({}, clock, metrics);
    fleet::worker_beat beat;
    beat.set_worker("i-1");
    beat.set_born(born);
    beat.set_pool("pool");
    beat.set_address("place:1");
    beat.set_sequence(7);
    beat.set_clock_ms(first_clock + 120'000);
    fleet::fleet_response told;
    int answers = 0;
    intake.take(beat, [&](const fleet::fleet_response& response) {
      told = response;
      ++answers;
    });
    fleet::worker_beat copy = beat;
    it.change(copy);
    intake.take(copy, [](const fleet::fleet_response&) {});
    LONGS_EQUAL_TEXT(0, answers, it.name);
    const fleet::beat_batch batch = intake.collect("leader");
    fleet::beat_answers from_leader;
    for (const fleet::worker_beat& passed_on : batch.beats()) {
      fleet::beat_answer& answer = *from_leader.add_answers();
      answer.set_worker(life_of(passed_on).str());
      answer.set_sequence(passed_on.sequence());
      answer.mutable_response()->mutable_orders()->set_hold_ms(
          passed_on.sequence() == 7 && passed_on.born() == born ? 1 : 2);
    }
    intake.answered(from_leader);
    LONGS_EQUAL_TEXT(1, answers, it.name);
    LONGS_EQUAL_TEXT(1, told.orders().hold_ms(), it.name);
  }
}

TEST(other_writer, id_that_never_was_gets_nothing_where_its_pool_is_unknown) {
  for (const heartbeat_route by :
       {heartbeat_route::direct, heartbeat_route::intake}) {
    control_boxes all;
    configure(all);
    true_worker worker(all, by);
    run_two(all, worker);
    fleet::worker_beat stranger = worker.beat();
    stranger.set_worker("i-2");
    stranger.set_pool("none");
    for (int i = 0; i < 10; ++i) {
      stranger.set_sequence(stranger.sequence() + 1);
      stranger.set_clock_ms(stranger.clock_ms() + 200);
      LONGS_EQUAL(fleet::fleet_invalid, worker.send(stranger).status());
      all.pass(call_pause);
      goes_on(worker, "beside a stranger");
    }
    LONGS_EQUAL(1, all.leader().workers().views().size());
  }
}

// A copy that passes for the next call: what the worker itself says later, by
// its clock, goes before it though its sequence is lower.
TEST(other_writer, sequence_that_ran_ahead_is_set_right) {
  for (const heartbeat_route by :
       {heartbeat_route::direct, heartbeat_route::intake}) {
    control_boxes all;
    configure(all);
    true_worker worker(all, by);
    run_two(all, worker);
    fleet::worker_beat copy = worker.beat();
    copy.set_sequence(copy.sequence() + 1'000'000);
    worker.send(copy);
    for (int i = 0; i < 10; ++i) {
      all.pass(call_pause);
      goes_on(worker, "after a sequence that ran ahead");
    }
  }
}

// Workers tell how long they remain while they drain.
//
// What happened: a batch task ended well at a draining worker and was started
// again elsewhere 200 to 330 ms later, in three of six runs.
// Sequence: the worker's last heartbeat was read 139 ms before the end; 37 ms
// after the end its leave was read; no heartbeat came after that, as a worker
// calls 50 ms after an end. The leader never heard of the end.
// Cause: batch work went on until the worker was gone, so that what ended after
// its last heartbeat could be told to nobody.
// Settled by the calls of the workers at the boxes that read them: 0 of 65
// leaves were followed by a heartbeat, and `worker-leaves` told
// `remaining-ms` less `heard-ms-ago` between -87 and 1 (61 leaves): they leave
// when they said that they would.
#include <CppUTest/TestHarness.h>

#include "fleet/fleet-test-world.h"

using namespace kestrelreel;

TEST_GROUP(worker_drain) {
  test_world world;

  /// One task at work at `a`, which drains for so long yet.
  fleet::worker_orders drain(const fleet::step_spec& step,
                             uint64_t remaining_ms) {
    world.configure();
    world.submit(7, {step});
    world.beat("a");
    world.beat("a");
    LONGS_EQUAL(1, world.workers["a"].running_size());
    world.workers["a"].set_draining(true);
    world.workers["a"].set_remaining_ms(remaining_ms);
    return world.beat("a");
  }
};

// With stops of 1 s, heartbeats 200 ms apart and 0.5 s for the log, 1.9 s
// before the worker is gone. Lasting tasks serve to the end.
TEST(worker_drain, work_is_stopped_while_its_end_can_still_be_told) {
  struct row {
    const char* name;
    uint64_t remaining_ms;
    bool lasting;
    int stops;
  };
  const row rows[] = {
      {"long before", 4'000, false, 0},    {"before", 1'901, false, 0},
      {"shortly before", 1'900, false, 1}, {"at the end", 0, false, 1},
      {"lasting, before", 1'901, true, 0}, {"lasting", 1'900, true, 0},
      {"lasting, at the end", 0, true, 0},
  };
  for (const row& it : rows) {
    world.~test_world();
    new (&world) test_world();
    fleet::step_spec step = test_world::make_step(1);
    step.set_long_running(it.lasting);
    const fleet::worker_orders orders = drain(step, it.remaining_ms);
    LONGS_EQUAL_TEXT(it.stops, orders.stops_size(), it.name);
  }
}

TEST(worker_drain, what_was_stopped_starts_elsewhere_where_it_stood) {
  fleet::step_spec step = test_world::make_step(1);
  step.set_saves_progress(true);
  const fleet::worker_orders orders = drain(step, 500);
  LONGS_EQUAL(1, orders.stops_size());
  // Not before the worker lists the end.
  world.beat("b");
  LONGS_EQUAL(0, world.workers["b"].running_size());
  world.end("a", orders.stops(0).task(), 1, fleet::run_stopped, "half");
  world.beat("a");
  world.beat("b");
  LONGS_EQUAL(1, world.workers["b"].running_size());
  STRCMP_EQUAL("half", world.workers["b"].running(0).saved().c_str());
}

TEST(worker_drain, good_end_that_crosses_the_stop_counts) {
  const fleet::worker_orders orders = drain(test_world::make_step(1), 500);
  LONGS_EQUAL(1, orders.stops_size());
  world.end("a", orders.stops(0).task(), 1, fleet::run_done);
  world.beat("a");
  LONGS_EQUAL(fleet::job_succeeded, world.state(7).phase());
}

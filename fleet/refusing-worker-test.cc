// Guards against a worker that refuses every start and gets another one with
// each heartbeat.
#include <CppUTest/TestHarness.h>

#include "fleet/fleet-test-world.h"

using namespace kestrelreel;

namespace {

constexpr milliseconds heartbeat_interval{200};

/// Refuses all starts of the worker's next answer; returns their number.
int refuse_all(test_world& world, const std::string& worker) {
  const fleet::worker_orders orders = world.beat(worker);
  for (const fleet::start_order& it : orders.starts()) {
    world.end(worker, it.task(), it.run(), fleet::run_refused);
  }
  return orders.starts_size();
}

}  // namespace

TEST_GROUP(refusing_worker){};

TEST(refusing_worker, gets_starts_with_a_growing_backoff) {
  // At most one start per second on average, instead of one per heartbeat.
  constexpr int seconds = 30;
  test_world world;
  world.configure();
  world.submit(7, {test_world::make_step(1)});
  int starts = 0;
  for (milliseconds at{0}; at < std::chrono::seconds(seconds);
       at += heartbeat_interval) {
    starts += refuse_all(world, "a");
    world.pass(heartbeat_interval);
  }
  CHECK_TRUE(starts <= seconds);
  CHECK_TRUE(starts >= 3);
  LONGS_EQUAL(fleet::job_running, world.state(7).phase());
}

// Refusals in one heartbeat mean that the worker's capacity has shrunk.
TEST(refusing_worker, is_still_used_after_one_refusal) {
  test_world world;
  world.configure();
  world.beat("a");
  world.submit(7, {test_world::make_step(4)});
  LONGS_EQUAL(4, refuse_all(world, "a"));
  world.beat("a");
  LONGS_EQUAL(4, world.workers["a"].running_size());
}

TEST(refusing_worker, loses_its_tasks_to_other_workers) {
  test_world world;
  world.configure();
  world.submit(7, {test_world::make_step(2)});
  for (int i = 0; i < 10; ++i) {
    refuse_all(world, "a");
    world.beat("b");
    world.pass(heartbeat_interval);
  }
  LONGS_EQUAL(2, world.workers["b"].running_size());
}

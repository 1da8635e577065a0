// Guards against a lost worker that is not declared lost when its lease has
// ended, because heartbeats that it sent before arrive seconds late: each one
// defers that by 2 s, and its long-running task is down for more than 9 s.
#include <CppUTest/TestHarness.h>

#include <vector>

#include "fleet/serving-downtime-test-world.h"

using namespace kestrelreel;
using downtime::serving_world;

TEST_GROUP(late_heartbeat_loss){};

TEST(late_heartbeat_loss, one_defers_the_loss) {
  serving_world world(max_lease_duration);
  const fleet::worker_beat last = world.first().next_heartbeat();
  world.first().crash();
  world.pass(milliseconds(7'100));
  world.deliver(last);
  world.check_downtime();
}

// The worker was cut off before it crashed: its calls got no answer and were
// repeated each second.
TEST(late_heartbeat_loss, several_defer_the_loss) {
  serving_world world;
  world.first().cut_off();
  std::vector<fleet::worker_beat> sent;
  for (int i = 0; i < 3; ++i) {
    if (i > 0) world.pass(milliseconds(1'000));
    sent.push_back(world.first().next_heartbeat());
  }
  world.first().crash();
  world.pass(milliseconds(4'000));
  for (const fleet::worker_beat& it : sent) {
    world.deliver(it);
    world.pass(milliseconds(1'900));
  }
  world.check_downtime();
}

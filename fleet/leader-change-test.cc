// Guards against a lost worker's long-running task that stays down for more
// than 9 s because the leader changes: the next leader assumes that each worker
// was granted a lease until the change, also a worker that had been silent for
// seconds, or one whose heartbeat arrives seconds late.
#include <CppUTest/TestHarness.h>

#include "fleet/serving-downtime-test-world.h"

using namespace kestrelreel;
using downtime::serving_world;

TEST_GROUP(leader_change) { serving_world world; };

TEST(leader_change, extends_the_lease_of_a_lost_worker) {
  world.first().crash();
  world.pass(milliseconds(4'000));
  world.change_leader();
  world.check_downtime();
}

TEST(leader_change, extends_the_lease_of_a_lost_worker_each_time) {
  world.first().crash();
  for (int i = 0; i < 4; ++i) {
    world.pass(milliseconds(4'000));
    world.change_leader();
  }
  world.check_downtime();
}

// The start was committed and not sent: no other leader can withdraw it.
TEST(leader_change, binds_an_unsent_start_to_a_lost_worker) {
  world.add_worker("next", 8'000);
  world.first().crash();
  world.wait_for_placement().cut_off();
  world.change_leader();
  world.check_downtime();
}

TEST(leader_change, late_heartbeat_counts_as_timely) {
  const fleet::worker_beat last = world.first().next_heartbeat();
  world.first().crash();
  world.change_leader();
  world.pass(milliseconds(3'000));
  world.deliver(last);
  world.check_downtime();
}

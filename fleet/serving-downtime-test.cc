// A long-running task whose worker is lost runs again within 9 s where there is
// free capacity.
#include <CppUTest/TestHarness.h>

#include "fleet/serving-downtime-test-world.h"

using namespace kestrelreel;
using downtime::serving_world;

TEST_GROUP(serving_downtime){};

TEST(serving_downtime, worker_crashes) {
  serving_world world(max_lease_duration);
  world.first().crash();
  world.check_downtime();
}

TEST(serving_downtime, leader_changes_as_the_worker_crashes) {
  serving_world world;
  world.first().crash();
  world.change_leader();
  world.check_downtime();
}

TEST(serving_downtime, next_worker_is_cut_off_before_it_gets_the_start) {
  serving_world world;
  world.add_worker("next", 8'000);
  world.first().crash();
  world.wait_for_placement().cut_off();
  world.check_downtime();
}

TEST(serving_downtime, heartbeat_sent_before_the_crash_arrives_late) {
  serving_world world(max_lease_duration);
  const fleet::worker_beat last = world.first().next_heartbeat();
  world.first().crash();
  world.pass(milliseconds(4'000));
  world.deliver(last);
  world.check_downtime();
}

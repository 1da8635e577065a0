// A task that failed on a worker is placed there again, as that worker is the
// emptiest, until its attempts are used up.
#include <CppUTest/TestHarness.h>

#include "fleet/failing-test-world.h"

using namespace kestrelreel;
using failing::failing_world;

TEST_GROUP(retried_where_it_failed){};

TEST(retried_where_it_failed, job_fails_beside_sound_workers) {
  constexpr int sound_workers = 15;
  constexpr milliseconds watched_for{5'000};
  failing_world world(1, sound_workers);
  world.submit(1, {test_world::make_step(4)});
  for (milliseconds at{0}; at < watched_for; at += failing::step_time)
    world.one_step();
  LONGS_EQUAL(fleet::job_succeeded, world.state(1).phase());
}

// What the tests of the leader's decisions share.
#pragma once

#include <CppUTest/TestHarness.h>

#include "fleet/fleet-test-world.h"

namespace kestrelreel {

/// The base of their groups.
struct controller_test : public Utest {
  test_world world;

  static fleet::task_ref task(uint64_t job, uint32_t step, uint32_t index) {
    return to_ref({job_number(job), 0, step, index});
  }
  /// One job with one task, running at worker `a`.
  void start_one_task(uint64_t job = 7) {
    world.configure();
    world.submit(job, {test_world::make_step(1)});
    world.beat("a");
    LONGS_EQUAL(1, world.workers["a"].running_size());
  }
};

}  // namespace kestrelreel

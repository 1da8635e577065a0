// Shared base of the controller tests.
#pragma once

#include <CppUTest/TestHarness.h>

#include "fleet/fleet-test-world.h"

namespace kestrelreel {

/// Base class of the controller test groups.
struct controller_test : public Utest {
  test_world world;

  static fleet::task_ref task(uint64_t job, uint32_t step, uint32_t index) {
    return to_ref({job_number(job), 0, step, index});
  }
  /// Submits one job with one task, which runs on worker `a`.
  void start_one_task(uint64_t job = 7) {
    world.configure();
    world.submit(job, {test_world::make_step(1)});
    world.beat("a");
    LONGS_EQUAL(1, world.workers["a"].running_size());
  }
};

}  // namespace kestrelreel

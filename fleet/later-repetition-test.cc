// The order of a long-running job whose later repetitions are not due yet.
#include <CppUTest/TestHarness.h>

#include "fleet/fleet-test-world.h"

using namespace kestrelreel;

namespace {

constexpr uint64_t long_running_job = 1;
constexpr uint64_t short_job = 2;
constexpr uint64_t task_cpu = 4'000;
constexpr uint64_t start_ms = 1'000'000;
constexpr uint64_t interval_ms = 3'600'000;
const task_key short_task{job_number(short_job), 0, 0, 0};

}  // namespace

TEST_GROUP(later_repetition) {
  test_world world;

  void setup() override { world.configure(1, 99); }
  void pass(int calls) {
    for (int i = 0; i < calls; ++i) {
      world.pass(milliseconds(200));
      world.beat("worker");
    }
  }
  /// A short job arrives just before the job's only running task fails; there
  /// is room for one of them.
  void check_short_job_goes_first(uint32_t times) {
    world.beat("worker");
    fleet::step_spec step = test_world::make_step(1, task_cpu);
    step.set_long_running(true);
    fleet::fleet_request submit =
        test_world::make_submit(long_running_job, {step});
    fleet::fleet_job_spec& spec = *submit.mutable_job()->mutable_submit();
    spec.set_times(times);
    spec.set_start_ms(start_ms);
    spec.set_interval_ms(interval_ms);
    world.ask(submit);
    pass(60);
    LONGS_EQUAL(1, world.workers["worker"].running_size());
    world.submit(short_job, {test_world::make_step(1, task_cpu)});
    pass(1);
    const fleet::task_ref failed = world.workers["worker"].running(0).task();
    world.end("worker", failed, 1, fleet::run_failed);
    pass(2);
    LONGS_EQUAL(1, world.workers["worker"].running_size());
    LONGS_EQUAL(short_job, world.workers["worker"].running(0).task().job());
  }
};

TEST(later_repetition, short_job_goes_before_a_task_that_was_just_interrupted) {
  check_short_job_goes_first(1);
}

// Tasks that are not due for an hour counted as pending since the job's first
// task was due.
TEST(later_repetition, task_that_is_not_due_puts_its_job_before_short_jobs) {
  check_short_job_goes_first(2);
}

// What a plan costs a lagging leader, which places only where a call waits.
#include <CppUTest/TestHarness.h>

#include <string>

#include "fleet/fleet-test-world.h"

using namespace kestrelreel;

/// Counts how often the time is read, once at least for each worker that is
/// looked at.
class counting_clock final : public clock_source {
 public:
  time_point now() const override {
    ++reads_;
    return time_point{100'000};
  }
  uint64_t reads() const { return reads_; }

 private:
  mutable uint64_t reads_ = 0;
};

TEST_GROUP(plan_cost) {
  static constexpr unsigned lagging_percent = 200;

  /// Returns the clock reads of a lagging leader's plan with `steps` waiting
  /// long-running steps and `workers` workers, none of which has a call open.
  static uint64_t reads_of_plan(uint64_t workers, uint64_t steps) {
    counting_clock clock;
    job_book book;
    task_outages outages(book, clock);
    worker_table table({}, clock);
    fleet_scheduler scheduler({}, book, outages, table, clock);
    fleet::fleet_command config;
    *config.mutable_config() = test_world::make_config(1);
    book.apply(config);
    for (uint64_t i = 1; i <= steps; ++i) {
      fleet::fleet_command command;
      fleet::fleet_job_spec& spec = *command.mutable_submit();
      spec.set_job(i);
      spec.set_queue("plans");
      *spec.add_steps() = test_world::make_step(1);
      spec.mutable_steps(0)->set_long_running(true);
      book.apply(command);
    }
    for (uint64_t i = 1; i <= workers; ++i) {
      fleet::worker_beat beat;
      beat.set_worker("w" + std::to_string(i));
      beat.set_pool("pool");
      beat.set_sequence(1);
      beat.set_cpu_milli(4'000);
      beat.set_memory_mb(1'000);
      table.receive_heartbeat(beat);
    }
    const uint64_t before = clock.reads();
    LONGS_EQUAL(0, scheduler.plan(0, lagging_percent).starts_size());
    return clock.reads() - before;
  }
};

// Each waiting step walked all workers again once none could take it.
TEST(plan_cost, workers_without_open_calls_are_searched_for_each_step) {
  const uint64_t few_steps = reads_of_plan(500, 1);
  const uint64_t many_steps = reads_of_plan(500, 41);
  CHECK_TRUE(few_steps >= 500);
  CHECK_TRUE_TEXT(many_steps - few_steps < 40 * 50,
                  std::to_string(many_steps - few_steps).c_str());
}

// What a leader that has just read the log makes of a run that began long ago.
#include <CppUTest/TestHarness.h>

#include <optional>

#include "fleet/fleet-test-world.h"

using namespace kestrelreel;

namespace {

constexpr uint64_t long_running_job = 1;
const task_key task{job_number(long_running_job), 0, 0, 0};

}  // namespace

TEST_GROUP(replayed_start) {
  test_world world;

  void apply_start(uint32_t run, const char* worker) {
    fleet::fleet_command command;
    fleet::run_start& it = *command.mutable_starts()->add_starts();
    *it.mutable_task() = to_ref(task);
    it.set_run(run);
    it.set_worker(worker);
    world.controller.applied(command);
  }
  void apply_failure(uint32_t run, const char* worker) {
    fleet::fleet_command command;
    command.mutable_report()->set_worker(worker);
    fleet::run_end& it = *command.mutable_report()->add_ends();
    it.set_number(1);
    *it.mutable_task() = to_ref(task);
    it.set_run(run);
    it.set_outcome(fleet::run_failed);
    world.controller.applied(command);
  }
  std::optional<fleet::worker_loss> next_loss() {
    constexpr int max_steps = 200;
    for (int i = 0; i < max_steps; ++i) {
      world.clock.advance(milliseconds(100));
      world.controller.tick();
      for (const fleet::fleet_command& batch : world.log.proposed) {
        for (const fleet::fleet_command& it : batch.batch().commands()) {
          if (it.has_loss()) return it.loss();
        }
      }
      world.commit();
    }
    return std::nullopt;
  }
};

// The box restarts, reads the log and leads: it takes the time at which it read
// the start for the time of the start.
TEST(replayed_start, run_that_began_long_ago_counts_as_never_begun) {
  world.controller.set_leading(false);
  fleet::fleet_command config;
  *config.mutable_config() = test_world::make_config(1);
  world.controller.applied(config);
  fleet::fleet_command submit;
  submit.mutable_submit()->set_job(long_running_job);
  submit.mutable_submit()->set_queue("plans");
  fleet::step_spec& step = *submit.mutable_submit()->add_steps();
  step = test_world::make_step(1);
  step.set_long_running(true);
  world.controller.applied(submit);
  apply_start(1, "first");
  apply_failure(1, "first");
  apply_start(2, "second");
  ++world.log.leader_term;
  world.controller.set_leading(true);
  const auto loss = next_loss();
  CHECK_TRUE(loss.has_value());
  LONGS_EQUAL(1, loss->runs_size());
  CHECK_FALSE(loss->runs(0).unstarted());
}

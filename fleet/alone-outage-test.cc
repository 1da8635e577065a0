// The outage of a member of a long-running gang that waits for the others.
#include <CppUTest/TestHarness.h>

#include "fleet/fleet-test-world.h"
#include "fleet/task-outages.h"

using namespace kestrelreel;

namespace {

constexpr uint64_t gang_job = 7;
const task_key task{job_number(gang_job), 0, 0, 0};

}  // namespace

TEST_GROUP(alone_outage) {
  test_clock clock;
  job_book book;
  task_outages outages{book, clock};
  uint64_t ends = 0;

  void apply(const fleet::fleet_command& command) {
    const std::vector<run_key> ended = outages.runs_ended_by(command);
    book.apply(command);
    outages.apply(command, ended);
  }
  void start(uint32_t run) {
    fleet::fleet_command command;
    fleet::run_start& it = *command.mutable_starts()->add_starts();
    *it.mutable_task() = to_ref(task);
    it.set_run(run);
    it.set_worker("worker");
    apply(command);
  }
  void end(uint32_t run, fleet::run_outcome outcome) {
    fleet::fleet_command command;
    command.mutable_report()->set_worker("worker");
    fleet::run_end& it = *command.mutable_report()->add_ends();
    it.set_number(++ends);
    *it.mutable_task() = to_ref(task);
    it.set_run(run);
    it.set_outcome(outcome);
    apply(command);
  }
};

// A member that waited for the others in vain has not worked: its users are
// without it all the time.
TEST(alone_outage, run_that_waited_for_its_gang_ends_the_outage) {
  fleet::fleet_command command;
  *command.mutable_config() = test_world::make_config(1);
  apply(command);
  command.Clear();
  command.mutable_submit()->set_job(gang_job);
  command.mutable_submit()->set_queue("plans");
  fleet::step_spec& step = *command.mutable_submit()->add_steps();
  step = test_world::make_step(2);
  step.set_long_running(true);
  step.set_gang(true);
  apply(command);
  start(1);
  end(1, fleet::run_failed);
  const time_point since = clock.now();
  clock.advance(milliseconds(500));
  start(2);
  clock.advance(milliseconds(3'000));
  end(2, fleet::run_alone);
  LONGS_EQUAL(since.count(), outages.find(task)->since.count());
}

// The outage of a long-running task lasts from the end of its last run that
// began until a worker lists a later one, whatever starts came to nothing.
#include <CppUTest/TestHarness.h>

#include "fleet/fleet-test-world.h"
#include "fleet/task-outages.h"

using namespace kestrelreel;

namespace {

constexpr uint64_t job = 7;
constexpr uint64_t other_job = 8;
const task_key task{job_number(job), 0, 0, 0};

}  // namespace

TEST_GROUP(task_outages) {
  test_clock clock;
  job_book book;
  task_outages outages{book, clock};
  uint64_t ends = 0;

  void setup() override {
    fleet::fleet_command command;
    *command.mutable_config() = test_world::make_config(1);
    apply(command);
    submit(job, true);
    submit(other_job, false);
  }
  void apply(const fleet::fleet_command& command) {
    const std::vector<run_key> ended = outages.runs_ended_by(command);
    book.apply(command);
    outages.apply(command, ended);
  }
  void submit(uint64_t number, bool long_running) {
    fleet::fleet_command command;
    command.mutable_submit()->set_job(number);
    command.mutable_submit()->set_queue("plans");
    fleet::step_spec& step = *command.mutable_submit()->add_steps();
    step = test_world::make_step(1);
    step.set_long_running(long_running);
    apply(command);
  }
  void start(uint32_t run, const char* worker, uint64_t number = job) {
    fleet::fleet_command command;
    fleet::run_start& it = *command.mutable_starts()->add_starts();
    *it.mutable_task() = to_ref({job_number(number), 0, 0, 0});
    it.set_run(run);
    it.set_worker(worker);
    apply(command);
  }
  void end(uint32_t run, const char* worker, fleet::run_outcome outcome,
           uint64_t number = job) {
    fleet::fleet_command command;
    command.mutable_report()->set_worker(worker);
    fleet::run_end& it = *command.mutable_report()->add_ends();
    it.set_number(++ends);
    *it.mutable_task() = to_ref({job_number(number), 0, 0, 0});
    it.set_run(run);
    it.set_outcome(outcome);
    apply(command);
  }
  void lose(uint32_t run, const char* worker, bool began,
            milliseconds unheard = milliseconds(0)) {
    fleet::fleet_command command;
    fleet::worker_loss& loss = *command.mutable_loss();
    loss.set_worker(worker);
    loss.set_silent(unheard > milliseconds(0));
    loss.set_unheard_ms(static_cast<uint64_t>(unheard.count()));
    fleet::run_loss& it = *loss.add_runs();
    *it.mutable_task() = to_ref(task);
    it.set_run(run);
    it.set_unstarted(!began);
    apply(command);
  }
  milliseconds out_for() {
    const task_outage* it = outages.find(task);
    return it == nullptr ? milliseconds(-1) : clock.now() - it->since;
  }
};

TEST(task_outages, start_that_comes_to_nothing_resets_the_outage) {
  start(1, "a");
  LONGS_EQUAL(-1, out_for().count());
  end(1, "a", fleet::run_failed);
  clock.advance(milliseconds(100));
  start(2, "b");
  clock.advance(milliseconds(800));
  lose(2, "b", false);
  LONGS_EQUAL(900, out_for().count());
  start(3, "c");
  clock.advance(milliseconds(200));
  end(3, "c", fleet::run_refused);
  LONGS_EQUAL(1'100, out_for().count());
  start(4, "d");
  clock.advance(milliseconds(6'000));
  lose(4, "d", false, milliseconds(6'000));
  LONGS_EQUAL(7'100, out_for().count());
  LONGS_EQUAL(3, outages.find(task)->failed_starts);
  LONGS_EQUAL(1, outages.find(task)->last_run.value());
  STRCMP_EQUAL("2@b:withdrawn:800,3@c:run_refused:200,4@d:lease-ended:6000",
               to_text(outages.find(task)->starts, clock.now()).c_str());
}

TEST(task_outages, outage_begins_when_the_worker_was_last_heard) {
  start(1, "a");
  clock.advance(milliseconds(10'000));
  lose(1, "a", true, milliseconds(6'200));
  LONGS_EQUAL(6'200, out_for().count());
}

TEST(task_outages, outage_ends_when_a_later_run_is_listed) {
  start(1, "a");
  end(1, "a", fleet::run_failed);
  start(2, "b");
  CHECK_FALSE(outages.begin_run({task, run_number(1)}).has_value());
  CHECK_TRUE(outages.begin_run({task, run_number(2)}).has_value());
  CHECK_TRUE(outages.find(task) == nullptr);
}

TEST(task_outages, follower_keeps_an_outage_that_is_over) {
  start(1, "a");
  end(1, "a", fleet::run_failed);
  clock.advance(milliseconds(300));
  start(2, "b");
  clock.advance(milliseconds(60'000));
  lose(2, "b", true, milliseconds(6'200));
  LONGS_EQUAL(6'200, out_for().count());
  LONGS_EQUAL(2, outages.find(task)->last_run.value());
}

TEST(task_outages, task_that_never_began_has_an_outage_before_its_first_start) {
  start(1, "a");
  clock.advance(milliseconds(800));
  lose(1, "a", false, milliseconds(6'200));
  LONGS_EQUAL(0, out_for().count());
  LONGS_EQUAL(0, outages.find(task)->last_run.value());
}

TEST(task_outages, jobs_that_ended_and_short_tasks_have_outages) {
  start(1, "a", other_job);
  end(1, "a", fleet::run_failed, other_job);
  CHECK_TRUE(outages.find({job_number(other_job), 0, 0, 0}) == nullptr);
  start(1, "a");
  end(1, "a", fleet::run_failed);
  fleet::fleet_command command;
  command.mutable_cancel()->add_jobs(job);
  apply(command);
  CHECK_TRUE(outages.find(task) == nullptr);
}

// The crash record of a task must survive snapshots, and be empty for state
// saved by an older version.
#include <CppUTest/TestHarness.h>

#include "fleet/fleet-test-world.h"

using namespace kestrelreel;

TEST_GROUP(crash_record) {
  job_book book;

  void apply(const fleet::fleet_command& command) { book.apply(command); }
  void prepare(bool gang = false, bool is_long_running = false) {
    fleet::fleet_command config;
    *config.mutable_config() = test_world::make_config(1);
    apply(config);
    fleet::fleet_command submit;
    submit.mutable_submit()->set_job(7);
    submit.mutable_submit()->set_queue("plans");
    fleet::step_spec step = test_world::make_step(2);
    step.set_gang(gang);
    step.set_long_running(is_long_running);
    *submit.mutable_submit()->add_steps() = step;
    apply(submit);
  }
  static fleet::task_ref task(uint32_t index) {
    return to_ref({job_number(7), 0, 0, index});
  }
  void start(uint32_t run, uint32_t index = 0) {
    fleet::fleet_command command;
    fleet::run_start& it = *command.mutable_starts()->add_starts();
    *it.mutable_task() = task(index);
    it.set_run(run);
    it.set_worker("w" + std::to_string(run));
    fleet::worker_place& place = *command.mutable_starts()->add_places();
    place.set_worker(it.worker());
    place.set_address(it.worker() + ":1");
    apply(command);
  }
  void crash(uint32_t run, uint32_t evidence, bool survived = false,
             uint32_t index = 0) {
    fleet::fleet_command command;
    command.mutable_loss()->set_worker("w" + std::to_string(run));
    command.mutable_loss()->set_gone(true);
    fleet::run_loss& it = *command.mutable_loss()->add_runs();
    *it.mutable_task() = task(index);
    it.set_run(run);
    it.set_crash_evidence(evidence);
    it.set_survived(survived);
    apply(command);
  }
  void end(uint32_t run, fleet::run_outcome outcome) {
    fleet::fleet_command command;
    command.mutable_report()->set_worker("w" + std::to_string(run));
    fleet::run_end& it = *command.mutable_report()->add_ends();
    it.set_number(1);
    *it.mutable_task() = task(0);
    it.set_run(run);
    it.set_outcome(outcome);
    apply(command);
  }
  fleet::job_phase phase() const { return book.find(job_number(7))->phase; }
  uint32_t evidence(uint32_t index = 0) const {
    return book.crash_of({job_number(7), 0, 0, index}).evidence;
  }
  void start_gang(uint32_t run) {
    start(run, 0);
    start(run, 1);
  }
};

TEST(crash_record, survives_save_and_load) {
  prepare();
  start(1);
  crash(1, 4);
  start(2);
  fleet::fleet_command silent;
  silent.mutable_loss()->set_worker("w2");
  silent.mutable_loss()->set_silent(true);
  *silent.mutable_loss()->add_runs()->mutable_task() = task(0);
  silent.mutable_loss()->mutable_runs(0)->set_run(2);
  apply(silent);
  job_book other;
  CHECK_TRUE(other.load(book.save()).ok());
  CHECK_TRUE(other.save() == book.save());
  CHECK_TRUE(other.suspects() == book.suspects());
  LONGS_EQUAL(1, other.lapsed().size());
  LONGS_EQUAL(1, other.places().size());
  LONGS_EQUAL(4, other.crash_of({job_number(7), 0, 0, 0}).evidence);
  book = std::move(other);
  crash(2, 4);
  LONGS_EQUAL(fleet::job_failed, phase());
  CHECK_TRUE(book.suspects().empty());
}

TEST(crash_record, state_of_an_older_version_blames_no_task) {
  prepare();
  start(1);
  crash(1, 4);
  fleet::fleet_snapshot saved;
  CHECK_TRUE(saved.ParseFromString(book.save()));
  auto& old = *saved.mutable_jobs(0)->mutable_steps(0)->mutable_tasks(0);
  old.clear_crashes();
  old.clear_crash_evidence();
  old.clear_crashed_run();
  old.clear_ordered_run();
  saved.clear_places();
  CHECK_TRUE(book.load(saved.SerializeAsString()).ok());
  CHECK_TRUE(book.suspects().empty());
  start(2);
  crash(2, 0);
  LONGS_EQUAL(0, evidence());
  start(3);
  crash(3, 4);
  LONGS_EQUAL(4, evidence());
}

TEST(crash_record, ends_of_some_outcomes_clear_it) {
  struct row {
    const char* name;
    fleet::run_outcome outcome;
    bool gang;
    uint32_t left;
  };
  const row rows[] = {
      {"failed", fleet::run_failed, false, 0},
      {"stopped", fleet::run_stopped, false, 0},
      {"lapsed", fleet::run_lapsed, false, 0},
      {"refused", fleet::run_refused, false, 4},
      {"gang alone", fleet::run_alone, true, 4},
      {"gang broken", fleet::run_broken, true, 4},
      {"gang failed", fleet::run_failed, true, 0},
  };
  for (const row& it : rows) {
    book = job_book();
    prepare(it.gang);
    start(1);
    crash(1, 4);
    start(2);
    end(2, it.outcome);
    LONGS_EQUAL_TEXT(it.left, evidence(), it.name);
  }
}

TEST(crash_record, run_counts_once_and_a_reported_end_takes_precedence) {
  prepare();
  start(1);
  crash(1, 3);
  crash(1, 3);
  LONGS_EQUAL(3, evidence());
  start(2);
  crash(2, 0, true);
  LONGS_EQUAL(0, evidence());
  start(3);
  end(3, fleet::run_done);
  crash(3, 8);
  LONGS_EQUAL(fleet::job_running, phase());
}

TEST(crash_record, long_running_task_is_limited_by_crashes_only) {
  prepare(false, true);
  for (uint32_t run = 1; run <= 5; ++run) {
    start(run);
    end(run, fleet::run_failed);
  }
  LONGS_EQUAL(fleet::job_running, phase());
  start(6);
  crash(6, 4);
  start(7);
  crash(7, 4);
  LONGS_EQUAL(fleet::job_failed, phase());
}

// Crashes of different workers, each under another member, failed the job.
TEST(crash_record, gang_fails_for_crashes_under_different_members) {
  prepare(true);
  start_gang(1);
  crash(1, 4);
  start_gang(2);
  crash(2, 4, false, 1);
  LONGS_EQUAL(fleet::job_running, phase());
  LONGS_EQUAL(4, evidence(0));
  LONGS_EQUAL(4, evidence(1));
  start_gang(3);
  crash(3, 4, false, 1);
  LONGS_EQUAL(fleet::job_failed, phase());
}

TEST(crash_record, successful_gang_leaves_no_suspects) {
  prepare(true);
  start_gang(1);
  crash(1, 4, false, 1);
  LONGS_EQUAL(1, book.suspects().size());
  start_gang(2);
  end(2, fleet::run_done);
  LONGS_EQUAL(fleet::job_succeeded, phase());
  CHECK_TRUE(book.suspects().empty());
}

// An older version kept all crashes of a gang with its first member.
TEST(crash_record, first_member_is_blamed_for_the_gang_of_an_older_state) {
  prepare(true);
  start_gang(1);
  crash(1, 4);
  fleet::fleet_snapshot saved;
  CHECK_TRUE(saved.ParseFromString(book.save()));
  saved.clear_crashes_by_member();
  CHECK_TRUE(book.load(saved.SerializeAsString()).ok());
  CHECK_TRUE(book.suspects().empty());
  start_gang(2);
  crash(2, 4);
  LONGS_EQUAL(fleet::job_running, phase());
  LONGS_EQUAL(4, evidence());
}

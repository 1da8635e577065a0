// The replicated state is equal after save and load, and ignores commands that
// do not match it.
#include <CppUTest/TestHarness.h>

#include "fleet/fleet-test-world.h"
#include "fleet/queue-map.h"

using namespace kestrelreel;

TEST_GROUP(job_book) {
  job_book book;

  void put_config(uint32_t attempts = 2) {
    fleet::fleet_command command;
    *command.mutable_config() = test_world::make_config(1, attempts);
    book.apply(command);
  }
  void submit(uint64_t job, const fleet::step_spec& step) {
    fleet::fleet_command command;
    command.mutable_submit()->set_job(job);
    command.mutable_submit()->set_queue("plans");
    *command.mutable_submit()->add_steps() = step;
    book.apply(command);
  }
  void start(uint64_t job, uint32_t index, uint32_t run, const char* worker) {
    fleet::fleet_command command;
    fleet::run_start& it = *command.mutable_starts()->add_starts();
    *it.mutable_task() = to_ref({job_number(job), 0, 0, index});
    it.set_run(run);
    it.set_worker(worker);
    book.apply(command);
  }
  void end(uint64_t number, uint64_t job, uint32_t index, uint32_t run,
           const char* worker, fleet::run_outcome outcome,
           const char* saved = "") {
    fleet::fleet_command command;
    command.mutable_report()->set_worker(worker);
    fleet::run_end& it = *command.mutable_report()->add_ends();
    it.set_number(number);
    *it.mutable_task() = to_ref({job_number(job), 0, 0, index});
    it.set_run(run);
    it.set_outcome(outcome);
    it.set_saved(saved);
    book.apply(command);
  }
  const task_entry& task(uint64_t job, uint32_t index) {
    return *book.find({job_number(job), 0, 0, index});
  }
};

TEST(job_book, outdated_start_is_ignored) {
  put_config();
  submit(7, test_world::make_step(2));
  start(7, 0, 1, "a");
  start(7, 0, 2, "b");
  STRCMP_EQUAL("a", task(7, 0).worker.str().c_str());
  LONGS_EQUAL(1, task(7, 0).run.value());
  start(7, 9, 1, "a");
  start(8, 0, 1, "a");
  LONGS_EQUAL(1, book.runs_on(worker_id("a")).size());
}

TEST(job_book, end_counts_twice_or_for_other_run) {
  put_config();
  submit(7, test_world::make_step(1));
  start(7, 0, 1, "a");
  end(4, 7, 0, 1, "a", fleet::run_failed);
  end(4, 7, 0, 1, "a", fleet::run_failed);
  LONGS_EQUAL(1, task(7, 0).failures);
  start(7, 0, 2, "b");
  end(5, 7, 0, 1, "a", fleet::run_done);
  CHECK_TRUE(task(7, 0).phase == task_phase::running);
}

TEST(job_book, late_successful_end_of_lost_run_counts) {
  put_config();
  submit(7, test_world::make_step(1));
  start(7, 0, 1, "a");
  fleet::fleet_command loss;
  loss.mutable_loss()->set_worker("a");
  fleet::run_loss& it = *loss.mutable_loss()->add_runs();
  *it.mutable_task() = to_ref({job_number(7), 0, 0, 0});
  it.set_run(1);
  book.apply(loss);
  CHECK_TRUE(task(7, 0).phase == task_phase::waiting);
  end(1, 7, 0, 1, "a", fleet::run_done);
  LONGS_EQUAL(fleet::job_succeeded, book.find(job_number(7))->phase);
}

// The end was dropped, and the task was run again to its end.
TEST(job_book, successful_end_of_lost_run_is_dropped_for_a_later_run) {
  for (const bool reloaded : {false, true}) {
    book = job_book();
    put_config();
    submit(7, test_world::make_step(1));
    start(7, 0, 1, "a");
    fleet::fleet_command loss;
    loss.mutable_loss()->set_worker("a");
    loss.mutable_loss()->set_gone(true);
    book.apply(loss);
    start(7, 0, 2, "b");
    job_book loaded;
    CHECK_TRUE(loaded.load(book.save()).ok());
    CHECK_TRUE(book.save() == loaded.save());
    if (reloaded) book = std::move(loaded);
    end(1, 7, 0, 1, "a", fleet::run_done);
    LONGS_EQUAL(fleet::job_succeeded, book.find(job_number(7))->phase);
    // The later run uses capacity until it ends.
    LONGS_EQUAL(1, book.runs_on(worker_id("b")).size());
    end(1, 7, 0, 2, "b", fleet::run_stopped);
    CHECK_TRUE(book.runs().empty());
  }
}

// The end was dropped, or completed only one member of the gang.
TEST(job_book, successful_end_of_lost_gang_is_dropped_for_a_later_run) {
  for (const bool later_run_is_lost : {false, true}) {
    book = job_book();
    put_config();
    fleet::step_spec step = test_world::make_step(2);
    step.set_gang(true);
    submit(7, step);
    const auto lose = [this](const char* worker) {
      fleet::fleet_command loss;
      loss.mutable_loss()->set_worker(worker);
      loss.mutable_loss()->set_gone(true);
      book.apply(loss);
    };
    for (uint32_t i = 0; i < 2; ++i) start(7, i, 1, "a");
    lose("a");
    for (uint32_t i = 0; i < 2; ++i) start(7, i, 2, "b");
    if (later_run_is_lost) lose("b");
    end(1, 7, 0, 1, "a", fleet::run_done);
    LONGS_EQUAL(fleet::job_succeeded, book.find(job_number(7))->phase);
    LONGS_EQUAL(later_run_is_lost ? 0 : 2, book.runs_on(worker_id("b")).size());
  }
}

// The failure was acknowledged and did not count as an attempt.
TEST(job_book, failure_of_lost_run_is_not_counted) {
  for (const bool later_run_is_started : {false, true}) {
    book = job_book();
    put_config(2);
    submit(7, test_world::make_step(1));
    start(7, 0, 1, "a");
    fleet::fleet_command loss;
    loss.mutable_loss()->set_worker("a");
    loss.mutable_loss()->set_gone(true);
    book.apply(loss);
    if (later_run_is_started) start(7, 0, 2, "b");
    end(1, 7, 0, 1, "a", fleet::run_failed);
    end(1, 7, 0, 1, "a", fleet::run_failed);
    LONGS_EQUAL(1, task(7, 0).failures);
    if (!later_run_is_started) start(7, 0, 2, "b");
    end(1, 7, 0, 2, "b", fleet::run_failed);
    LONGS_EQUAL(fleet::job_failed, book.find(job_number(7))->phase);
  }
}

TEST(job_book, successful_member_end_completes_gang) {
  put_config();
  fleet::step_spec step = test_world::make_step(3);
  step.set_gang(true);
  submit(7, step);
  for (uint32_t i = 0; i < 3; ++i) start(7, i, 1, "a");
  end(1, 7, 1, 1, "a", fleet::run_done);
  LONGS_EQUAL(fleet::job_succeeded, book.find(job_number(7))->phase);
  end(2, 7, 0, 1, "a", fleet::run_broken);
  end(3, 7, 2, 1, "a", fleet::run_done);
  CHECK_TRUE(book.runs().empty());
}

TEST(job_book, member_checkpoint_is_shared_with_gang) {
  put_config();
  fleet::step_spec step = test_world::make_step(2);
  step.set_gang(true);
  submit(7, step);
  for (uint32_t i = 0; i < 2; ++i) start(7, i, 1, "a");
  end(1, 7, 0, 1, "a", fleet::run_stopped, "half");
  STRCMP_EQUAL("half", task(7, 0).saved.c_str());
  STRCMP_EQUAL("half", task(7, 1).saved.c_str());
}

TEST(job_book, gang_fails_after_max_attempts) {
  put_config(2);
  fleet::step_spec step = test_world::make_step(2);
  step.set_gang(true);
  submit(7, step);
  for (uint32_t run = 1; run <= 2; ++run) {
    for (uint32_t i = 0; i < 2; ++i) start(7, i, run, "a");
    end(2 * run - 1, 7, run - 1, run, "a", fleet::run_failed);
    end(2 * run, 7, 2 - run, run, "a", fleet::run_broken);
  }
  LONGS_EQUAL(fleet::job_failed, book.find(job_number(7))->phase);
}

TEST(job_book, loaded_state_equals_saved) {
  put_config();
  submit(7, test_world::make_step(3));
  submit(8, test_world::make_step(1));
  submit(9, test_world::make_step(1));
  start(7, 0, 1, "a");
  start(7, 1, 1, "b");
  start(9, 0, 1, "b");
  end(1, 7, 0, 1, "a", fleet::run_done);
  end(1, 7, 1, 1, "b", fleet::run_failed, "quarter");
  fleet::fleet_command cancel;
  cancel.mutable_cancel()->add_jobs(9);
  book.apply(cancel);
  job_book other;
  CHECK_TRUE(other.load(book.save()).ok());
  CHECK_TRUE(book.save() == other.save());
  LONGS_EQUAL(1, other.last_end(worker_id("a")));
  LONGS_EQUAL(1, other.runs_on(worker_id("b")).size());
  LONGS_EQUAL(2, other.live().size());
  STRCMP_EQUAL("quarter", other.find({job_number(7), 0, 0, 1})->saved.c_str());
}

// The next leader knows of the leave, and of the runs whose ends may still
// arrive.
TEST(job_book, leave_or_its_runs_are_lost_before_incarnation_ends) {
  put_config();
  submit(7, test_world::make_step(2));
  start(7, 0, 1, "a");
  fleet::fleet_command leave;
  leave.mutable_leave()->set_worker("a");
  book.apply(leave);
  leave.mutable_leave()->set_worker("without-ends");
  book.apply(leave);
  job_book other;
  CHECK_TRUE(other.load(book.save()).ok());
  CHECK_TRUE(book.save() == other.save());
  LONGS_EQUAL(2, other.left().size());
  LONGS_EQUAL(1, other.runs_on(worker_id("a")).size());
  LONGS_EQUAL(0, other.workers().size());
  end(1, 7, 0, 1, "a", fleet::run_done);
  CHECK_TRUE(task(7, 0).phase == task_phase::done);
  fleet::fleet_command loss;
  loss.mutable_loss()->set_worker("a");
  loss.mutable_loss()->set_gone(true);
  book.apply(loss);
  LONGS_EQUAL(1, book.left().size());
  LONGS_EQUAL(0, book.workers().size());
}

TEST(job_book, invalid_job_is_rejected) {
  struct row {
    int error;
    bool valid;
  };
  const row rows[] = {
      {0, true}, {1, false}, {2, false}, {3, false}, {4, false}};
  for (const row& it : rows) {
    fleet::fleet_job_spec spec;
    if (it.error != 1) *spec.add_steps() = test_world::make_step(1);
    if (it.error == 2) spec.mutable_steps(0)->set_count(0);
    if (it.error == 3) spec.mutable_steps(0)->add_depends_on(0);
    if (it.error == 4) spec.mutable_steps(0)->set_count(1'000'000);
    CHECK_EQUAL(it.valid, check_job(spec).ok());
  }
}

TEST(job_book, queue_with_longest_prefix_wins) {
  fleet::fleet_config config = test_world::make_config(1);
  fleet::queue_route longer = config.queues(0);
  longer.set_name("longer");
  longer.set_path_prefix("/plans/deep/");
  *config.add_queues() = longer;
  STRCMP_EQUAL(
      "longer",
      match_queue(config, "plans.example:81", "/plans/deep/1")->name().c_str());
  STRCMP_EQUAL(
      "plans",
      match_queue(config, "plans.example", "/plans/1")->name().c_str());
  POINTERS_EQUAL(nullptr, match_queue(config, "other.example", "/plans/1"));
}

// Progress of jobs as heartbeats tell it, across failures of the leader, the
// workers and what they report.
#include <CppUTest/TestHarness.h>

#include "fleet/fleet-test-world.h"

using namespace kestrelreel;

namespace {

constexpr milliseconds declared{1'000};
/// Enough runs for the declared time to be replaced.
constexpr uint64_t learning_jobs = 6;

controller_settings settings_with(bool learn) {
  controller_settings settings = test_world::make_settings();
  settings.decisions.learn_run_times = learn;
  return settings;
}

struct progress_world : test_world {
  explicit progress_world(bool learn = true)
      : test_world(settings_with(learn)) {
    configure();
    beat("a");
  }

  fleet::task_ref task(uint64_t job, uint32_t index = 0) {
    return to_ref({job_number(job), 0, 0, index});
  }

  /// Runs jobs of one step with four tasks to their end.
  void run_jobs(uint64_t first, uint64_t n, milliseconds time) {
    for (uint64_t job = first; job < first + n; ++job) {
      submit(job, {make_step(4, 500)});
      beat("a");
      for (milliseconds at{0}; at < time; at += milliseconds(200)) {
        pass(milliseconds(200));
        beat("a");
      }
      for (uint32_t i = 0; i < 4; ++i)
        end("a", task(job, i), 1, fleet::run_done);
      beat("a");
    }
  }

  /// A job with one running task.
  void start_job(uint64_t job) {
    submit(job, {make_step(1)});
    beat("a");
    beat("a");
  }

  void change_leader() {
    controller.set_leading(false);
    ++log.leader_term;
    controller.set_leading(true);
  }

  uint64_t observations() {
    return controller.progress().learned().observations({"plans", 0});
  }

  void report(uint32_t percent) {
    workers["a"].mutable_running(0)->set_percent(percent);
    beat("a");
  }

  int64_t remaining(uint64_t job) {
    pass(milliseconds(300));
    return controller.progress().remaining(job_number(job)).expected.count();
  }
};

}  // namespace

TEST_GROUP(job_progress){};

TEST(job_progress, run_times_are_learned_only_if_switched_on) {
  for (const bool learn : {false, true}) {
    progress_world world(learn);
    world.run_jobs(1, learning_jobs, 3 * declared);
    world.submit(100, {test_world::make_step(1)});
    const int64_t remaining = world.remaining(100);
    if (learn) {
      DOUBLES_EQUAL(3'000, static_cast<double>(remaining), 300);
    } else {
      LONGS_EQUAL(declared.count(), remaining);
    }
  }
}

TEST(job_progress, progress_shortens_the_remaining_time) {
  progress_world world;
  world.start_job(1);
  LONGS_EQUAL(1'000, world.remaining(1));
  world.pass(milliseconds(200));
  world.report(50);
  const int64_t half = world.remaining(1);
  CHECK_TRUE(half > 300 && half < 700);
}

TEST(job_progress, wrong_progress_adds_no_slack) {
  struct row {
    const char* name;
    uint32_t first;
    uint32_t second;
    // A second after the start, and if nothing is heard for another second.
    int64_t least_ms;
    int64_t later_ms;
  };
  // Backwards: by kind 900, and by its own pace 9,000 with a weight of a tenth.
  const row rows[] = {{"runs backwards", 80, 10, 1'710, 1'710},
                      {"beyond 100", 50, 4'000'000, 0, 1'000},
                      {"stays beyond 100", 200, 200, 0, 1'000},
                      {"stands still at 100", 100, 100, 0, 1'000},
                      {"stands still halfway", 50, 50, 750, 1'000},
                      {"stands still", 0, 0, 1'000, 1'000}};
  for (const row& it : rows) {
    progress_world world;
    world.start_job(1);
    world.pass(milliseconds(500));
    world.report(it.first);
    world.pass(milliseconds(500));
    world.report(it.second);
    LONGS_EQUAL_TEXT(it.least_ms, world.remaining(1), it.name);
    world.pass(milliseconds(800));
    LONGS_EQUAL_TEXT(it.later_ms, world.remaining(1), it.name);
  }
}

TEST(job_progress, work_is_counted_by_the_pace) {
  struct row {
    unsigned pace;
    int64_t worked_ms;
  };
  const row rows[] = {{100, 1'000}, {50, 500}, {0, 0}};
  for (const row& it : rows) {
    progress_world world;
    world.start_job(1);
    const run_key run{{job_number(1), 0, 0, 0}, run_number(1)};
    worker_view view = world.controller.workers().views().begin()->second;
    view.sent_paces[run] = it.pace;
    world.pass(milliseconds(1'000));
    view.last_timely_heartbeat_at = world.clock.now();
    world.controller.progress().observe_rows(view);
    LONGS_EQUAL(it.worked_ms, view.run_states.at(run).worked.count());
  }
}

TEST(job_progress, new_leader_begins_with_declared_times) {
  progress_world world;
  world.run_jobs(1, learning_jobs, 3 * declared);
  world.change_leader();
  world.submit(100, {test_world::make_step(1)});
  LONGS_EQUAL(declared.count(), world.remaining(100));
}

TEST(job_progress, new_leader_takes_running_tasks_by_their_progress) {
  progress_world world;
  world.start_job(1);
  world.change_leader();
  world.report(90);
  CHECK_TRUE(world.remaining(1) <= 200);
}

// What a run did before this leader heard of it counted as done in no time.
TEST(job_progress, run_of_unseen_begin_has_no_pace_until_it_gains) {
  progress_world world;
  world.start_job(1);
  world.pass(milliseconds(500));
  world.report(50);
  world.change_leader();
  world.report(50);
  CHECK_TRUE(world.remaining(1) >= 450);
  world.pass(milliseconds(200));
  // 20 percent in 500 ms: by kind 300, by its own pace 750 with a weight of 20.
  world.report(70);
  LONGS_EQUAL(390, world.remaining(1));
}

TEST(job_progress, restored_run_has_no_pace_until_it_gains) {
  for (const uint32_t first : {0U, 60U}) {
    progress_world world;
    world.start_job(1);
    world.end("a", world.task(1), 1, fleet::run_stopped, "saved");
    for (int i = 0; i < 2 && world.workers["a"].running_size() == 0; ++i)
      world.beat("a");
    LONGS_EQUAL(1, world.workers["a"].running_size());
    world.report(first);
    world.pass(milliseconds(100));
    world.report(60);
    CHECK_TRUE(world.remaining(1) >= 350);
  }
}

TEST(job_progress, run_of_unseen_begin_teaches_nothing) {
  for (const bool listed : {false, true}) {
    progress_world world;
    world.start_job(1);
    world.change_leader();
    if (listed) world.beat("a");
    world.pass(milliseconds(200));
    world.end("a", world.task(1), 1, fleet::run_done);
    world.beat("a");
    LONGS_EQUAL(fleet::job_succeeded, world.state(1).phase());
    LONGS_EQUAL(0, world.observations());
  }
}

TEST(job_progress, end_in_a_late_heartbeat_teaches_nothing) {
  for (const bool late : {false, true}) {
    progress_world world;
    world.start_job(1);
    world.pass(milliseconds(2'000));
    world.end("a", world.task(1), 1, fleet::run_done);
    fleet::worker_beat& beat = world.next_heartbeat("a");
    if (late) beat.set_clock_ms(beat.clock_ms() - 1'500);
    fleet::fleet_request request;
    *request.mutable_beat() = beat;
    world.ask(request);
    LONGS_EQUAL(fleet::job_succeeded, world.state(1).phase());
    LONGS_EQUAL(late ? 0 : 1, world.observations());
  }
}

TEST(job_progress, lost_worker_leaves_its_runs_whole_time) {
  progress_world world;
  world.start_job(1);
  world.report(90);
  CHECK_TRUE(world.remaining(1) <= 200);
  // No further heartbeat: the lease expires and the run is lost.
  world.pass(milliseconds(8'000));
  LONGS_EQUAL(declared.count(), world.remaining(1));
}

TEST(job_progress, run_that_continues_from_a_checkpoint_teaches_nothing) {
  progress_world world;
  world.start_job(1);
  world.end("a", world.task(1), 1, fleet::run_stopped, "saved");
  world.beat("a");
  world.beat("a");
  world.end("a", world.task(1), 2, fleet::run_done);
  world.beat("a");
  LONGS_EQUAL(0, world.observations());
}

TEST(job_progress, slack_is_what_the_deadline_leaves) {
  progress_world world;
  world.submit(1, {test_world::make_step(1), [] {
                     fleet::step_spec step = test_world::make_step(1);
                     step.add_depends_on(0);
                     return step;
                   }()});
  world.beat("a");
  world.beat("a");
  const run_key run{{job_number(1), 0, 0, 0}, run_number(1)};
  const time_point now = world.clock.now();
  job_progress& progress = world.controller.progress();
  LONGS_EQUAL(3'000, progress.slack(run, now + milliseconds(5'000)).count());
  LONGS_EQUAL(-1'000, progress.slack(run, now + milliseconds(1'000)).count());
}

TEST(job_progress, unknown_jobs_have_no_remaining_time) {
  progress_world world;
  job_progress& progress = world.controller.progress();
  const run_key run{{job_number(9), 0, 3, 0}, run_number(1)};
  LONGS_EQUAL(0, progress.remaining(job_number(9)).expected.count());
  LONGS_EQUAL(0, progress.slack(run, world.clock.now()).count());
}

// The sum of the claims was no valid time.
TEST(job_progress, chain_of_huge_claims_has_a_valid_time) {
  constexpr int steps = 100;
  for (const bool learn : {false, true}) {
    for (const uint64_t claim : {uint64_t{INT64_MAX}, UINT64_MAX}) {
      progress_world world(learn);
      fleet::fleet_job_spec spec;
      for (uint32_t i = 0; i < steps; ++i) {
        *spec.add_steps() = test_world::make_step(1);
        spec.mutable_steps(static_cast<int>(i))->set_estimate_ms(claim);
        if (i > 0)
          spec.mutable_steps(static_cast<int>(i))->add_depends_on(i - 1);
      }
      const auto work = world.controller.progress().work_of_new(
          spec, test_world::make_config(1).queues(0));
      CHECK_TRUE(work.path == max_run_time * steps);
      CHECK_TRUE(work.objective > work.path && work.core_seconds > 0);
    }
  }
}

// Order of pending jobs.
#include <CppUTest/TestHarness.h>

#include "fleet/fleet-test-world.h"
#include "fleet/job-order.h"

using namespace kestrelreel;

TEST_GROUP(job_order){
    // Two steps of 1 s each; the objective is 2 x 2 s + 1 s.
    static job_entry make_job(bool long_running = false){job_entry job;
for (int i = 0; i < 2; ++i) {
  fleet::step_spec step = test_world::make_step(2);
  step.set_long_running(long_running);
  if (i > 0) step.add_depends_on(0);
  *job.spec.add_steps() = step;
}
job.times.resize(1);
for (int i = 0; i < 2; ++i) job.times[0].emplace_back().tasks.resize(2);
return job;
}
static fleet::queue_route queue() {
  return test_world::make_config(1).queues(0);
}
}
;

TEST(job_order, standing_follows_the_remaining_work) {
  struct row {
    int passed_ms;
    uint32_t done;
    job_standing standing;
  };
  const row rows[] = {
      {0, 0, job_standing::in_time},      {3'000, 0, job_standing::in_time},
      {3'100, 0, job_standing::late},     {3'100, 2, job_standing::in_time},
      {4'100, 2, job_standing::late},     {13'000, 0, job_standing::late},
      {13'100, 0, job_standing::overdue}, {14'100, 2, job_standing::overdue}};
  for (const row& it : rows) {
    job_entry job = make_job();
    job.times[0][0].done = it.done;
    const time_point accepted(50'000);
    const job_order order =
        order_of(job, queue(), accepted, accepted + milliseconds(it.passed_ms));
    STRCMP_EQUAL(to_string(it.standing), to_string(order.standing));
    LONGS_EQUAL(55'000, order.deadline.count());
  }
}

TEST(job_order, jobs_that_can_be_in_time_go_before_those_that_cannot) {
  const time_point accepted(50'000);
  const time_point now(54'000);
  const job_order missed = order_of(make_job(), queue(), accepted, now);
  const job_order fresh = order_of(make_job(), queue(), now, now);
  const job_order long_running =
      order_of(make_job(true), queue(), accepted, now);
  fleet::queue_route urgent = queue();
  urgent.set_priority(0);
  fleet::queue_route later = queue();
  later.set_priority(2);
  CHECK_TRUE(fresh < missed);
  CHECK_TRUE(fresh < long_running);
  CHECK_TRUE(long_running < missed);
  CHECK_TRUE(order_of(make_job(), urgent, accepted, now) <
             order_of(make_job(), later, now, now));
}

// Guards against an overdue job taking the only free capacity from a younger
// job that can still meet its objective.
TEST(job_order, missed_job_does_not_make_others_miss) {
  test_world world;
  world.configure();
  world.submit(1, {test_world::make_step(1, 4'000)});
  world.beat("a");
  world.submit(2, {test_world::make_step(1, 4'000)});
  world.beat("a");
  world.pass(milliseconds(2'500));
  world.submit(3, {test_world::make_step(1, 4'000)});
  world.beat("a");
  world.end("a", to_ref({job_number(1), 0, 0, 0}), 1, fleet::run_done);
  const fleet::worker_orders orders = world.beat("a");
  LONGS_EQUAL(1, orders.starts_size());
  LONGS_EQUAL(3, orders.starts(0).task().job());
}

// Guards against starvation of serving tasks: short jobs took all capacity as
// it became free, and a serving task waited for 9 s.
TEST(job_order, serving_task_that_waited_long_goes_first) {
  for (const int waited_ms : {1'000, 5'000}) {
    test_world world;
    world.configure();
    world.submit(1, {test_world::make_step(1, 4'000)});
    world.beat("a");
    fleet::step_spec serving = test_world::make_step(1, 4'000);
    serving.set_long_running(true);
    world.submit(2, {serving});
    for (int passed = 0; passed < waited_ms; passed += 500) {
      world.pass(milliseconds(500));
      world.beat("a");
    }
    world.submit(3, {test_world::make_step(1, 4'000)});
    world.end("a", to_ref({job_number(1), 0, 0, 0}), 1, fleet::run_done);
    const fleet::worker_orders orders = world.beat("a");
    LONGS_EQUAL(1, orders.starts_size());
    LONGS_EQUAL(waited_ms < 2'000 ? 3 : 2, orders.starts(0).task().job());
  }
}

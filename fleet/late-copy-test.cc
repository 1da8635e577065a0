// Several copies of one submission may be pending: a caller without an answer
// submits the same job to another box, and a copy may lie unread at a box that
// is suspended. The leader answered each copy without regard to the others:
// - a job in the book was answered "no such queue" once its queue was removed;
// - a job whose first copy was in the log was refused because of the capacity
//   that the job itself took, or reported as not taken by a leader that stepped
//   down;
// - a job that its caller had cancelled ran when a late copy arrived.
#include <CppUTest/TestHarness.h>

#include <vector>

#include "fleet/fleet-test-world.h"

using namespace kestrelreel;

namespace {

constexpr uint64_t tested_job = 7;

fleet::fleet_request submission(uint64_t job = tested_job, uint32_t tasks = 1) {
  return test_world::make_submit(job, {test_world::make_step(tasks)});
}

controller_settings settings_with_max_tasks(uint64_t tasks) {
  controller_settings it = test_world::make_settings();
  it.max_live_tasks = tasks;
  return it;
}

}  // namespace

TEST_GROUP(late_copy) {
  std::vector<fleet::fleet_status> answers;

  void submit(test_world & world) {
    world.controller.request(submission(), [this](const auto& it) {
      answers.push_back(it.status());
    });
  }
  void expect_answers(std::vector<fleet::fleet_status> expected,
                      const char* name) {
    CHECK_TRUE_TEXT(expected == answers, name);
    answers.clear();
  }
};

TEST(late_copy, known_job_is_acknowledged_without_its_queue) {
  test_world world;
  world.configure();
  LONGS_EQUAL(fleet::fleet_ok, world.ask(submission()).status());
  fleet::fleet_request change;
  *change.mutable_put_config() = test_world::make_config(2);
  change.mutable_put_config()->mutable_queues(0)->set_path_prefix("/other/");
  LONGS_EQUAL(fleet::fleet_ok, world.ask(change).status());
  LONGS_EQUAL(fleet::fleet_ok, world.ask(submission()).status());
  // Another job at that path is refused, and so is this job at another host.
  LONGS_EQUAL(fleet::fleet_no_queue, world.ask(submission(8)).status());
  fleet::fleet_request elsewhere = submission();
  elsewhere.mutable_job()->set_host("none.example");
  LONGS_EQUAL(fleet::fleet_no_queue, world.ask(elsewhere).status());
}

TEST(late_copy, pending_copies_get_one_answer) {
  struct row {
    const char* name;
    bool first_is_proposed;
    bool leadership_lost;
    std::vector<fleet::fleet_status> answers;
  };
  const row rows[] = {
      {"neither proposed", false, false, {fleet::fleet_ok, fleet::fleet_ok}},
      {"first proposed", true, false, {fleet::fleet_ok, fleet::fleet_ok}},
      {"neither proposed, leadership lost",
       false,
       true,
       {fleet::fleet_unavailable, fleet::fleet_unavailable}},
      {"first proposed, leadership lost",
       true,
       true,
       {fleet::fleet_unknown, fleet::fleet_unknown}},
  };
  for (const row& it : rows) {
    test_world world;
    world.configure();
    submit(world);
    if (it.first_is_proposed) world.controller.decide();
    submit(world);
    if (it.leadership_lost) world.controller.set_leading(false);
    if (!it.leadership_lost) world.commit();
    expect_answers(it.answers, it.name);
  }
}

TEST(late_copy, overload_refuses_no_copy_of_a_pending_job) {
  test_world world(settings_with_max_tasks(3));
  world.configure();
  submit(world);
  world.controller.decide();
  // Another job uses up the capacity before the first is recorded.
  const auto first = world.log.proposed.front();
  world.log.proposed.clear();
  LONGS_EQUAL(fleet::fleet_ok, world.ask(submission(8, 4)).status());
  LONGS_EQUAL(fleet::fleet_refused, world.ask(submission(9)).status());
  submit(world);
  world.log.proposed.push_back(first);
  world.commit();
  expect_answers({fleet::fleet_ok, fleet::fleet_ok}, "no capacity");
}

TEST(late_copy, failed_submission_can_be_repeated) {
  test_world world;
  world.configure();
  world.log.refuses = true;
  submit(world);
  world.controller.decide();
  expect_answers({fleet::fleet_unavailable}, "not recorded");
  world.log.refuses = false;
  LONGS_EQUAL(fleet::fleet_ok, world.ask(submission()).status());
}

TEST(late_copy, job_submitted_after_its_cancel_never_starts) {
  struct row {
    const char* name;
    bool by_snapshot;
    bool new_leader;
  };
  const row rows[] = {{"same leader", false, false},
                      {"new leader", false, true},
                      {"state from a snapshot", true, true}};
  for (const row& it : rows) {
    test_world world;
    world.configure();
    LONGS_EQUAL(fleet::fleet_no_job, world.cancel(tested_job).status());
    if (it.by_snapshot) {
      const std::string state = world.controller.book().save();
      CHECK_TRUE(world.controller.installed(state).ok());
      STRCMP_EQUAL(state.c_str(), world.controller.book().save().c_str());
    }
    if (it.new_leader) {
      world.controller.set_leading(false);
      world.log.leader_term = 2;
      world.controller.set_leading(true);
    }
    LONGS_EQUAL_TEXT(fleet::fleet_ok, world.ask(submission()).status(),
                     it.name);
    LONGS_EQUAL_TEXT(0, world.beat("a").starts_size(), it.name);
    LONGS_EQUAL_TEXT(fleet::job_canceled, world.state(tested_job).phase(),
                     it.name);
    LONGS_EQUAL_TEXT(0, world.controller.book().live().size(), it.name);
  }
}

TEST(late_copy, cancel_of_an_unknown_job_expires) {
  test_world world;
  world.configure();
  world.cancel(tested_job);
  world.pass(milliseconds(130'000));
  world.pass(milliseconds(10'000));
  LONGS_EQUAL(fleet::fleet_ok, world.ask(submission()).status());
  LONGS_EQUAL(1, world.beat("a").starts_size());
}

// A data centre named only by its workers is unknown to a new leader until one
// of them calls; a repeated evacuation order must be acknowledged before that.
TEST(late_copy, evacuation_in_force_is_acknowledged_again) {
  test_world world;
  world.configure();
  world.workers["a"].set_data_centre("z");
  world.workers["a"].set_worker("a");
  world.workers["a"].set_pool("pool");
  world.workers["a"].set_address("a:1");
  world.beat("a");
  fleet::fleet_request order;
  order.mutable_evacuation()->set_data_centre("z");
  order.mutable_evacuation()->set_evacuate(true);
  LONGS_EQUAL(fleet::fleet_ok, world.ask(order).status());
  world.controller.set_leading(false);
  world.log.leader_term = 2;
  world.controller.set_leading(true);
  LONGS_EQUAL(fleet::fleet_ok, world.ask(order).status());
  order.mutable_evacuation()->set_data_centre("nowhere");
  LONGS_EQUAL(fleet::fleet_invalid, world.ask(order).status());
}

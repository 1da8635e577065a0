// Workers that call, but have not got an answer of this leader.
#include <CppUTest/TestHarness.h>

#include <string>

#include "fleet/fleet-test-world.h"

using namespace kestrelreel;

namespace {

constexpr uint64_t long_running_job = 1;
constexpr milliseconds max_downtime{9'000};
constexpr milliseconds step_time{200};
/// A worker without an answer calls another box after this time.
constexpr milliseconds answer_limit{1'000};
const worker_id deaf("deaf");

}  // namespace

TEST_GROUP(never_answered_worker) {
  test_world world;
  milliseconds passed{0};

  void setup() override { world.configure(1, 99); }
  void submit_long_running() {
    fleet::step_spec step = test_world::make_step(1);
    step.set_long_running(true);
    world.submit(long_running_job, {step});
    LONGS_EQUAL(1, world.controller.book().runs_on(deaf).size());
  }
  void call_in_vain() {
    fleet::fleet_request request;
    fleet::worker_beat& it = world.next_heartbeat(deaf.str());
    *request.mutable_beat() = it;
    world.ask(request);
  }
  void change_leader() {
    world.controller.set_leading(false);
    ++world.log.leader_term;
    world.controller.set_leading(true);
  }
  /// Another worker gets each answer, "deaf" gets none.
  void check_started_elsewhere() {
    milliseconds down{0};
    for (int starts = 0; starts == 0 && down < 3 * max_downtime;
         down += step_time) {
      world.pass(step_time);
      passed += step_time;
      if (passed % answer_limit == milliseconds(0)) call_in_vain();
      starts = world.beat("other").starts_size();
    }
    CHECK_TRUE_TEXT(down <= max_downtime, std::to_string(down.count()).c_str());
  }
};

// No run is declared lost on a worker until the timing of its calls shows that
// it got an answer, and its start is not sent any more after 2 s.
TEST(never_answered_worker, task_stays_on_a_new_worker) {
  call_in_vain();
  world.pass(milliseconds(300));
  submit_long_running();
  world.pass(milliseconds(700));
  call_in_vain();
  check_started_elsewhere();
}

TEST(never_answered_worker,
     task_stays_where_no_answer_of_a_new_leader_arrives) {
  world.beat(deaf.str());
  submit_long_running();
  change_leader();
  call_in_vain();
  check_started_elsewhere();
}

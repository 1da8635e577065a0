// Workers that call while the leader's answers do not reach them.
#include <CppUTest/TestHarness.h>

#include <string>

#include "fleet/fleet-test-world.h"

using namespace kestrelreel;

namespace {

constexpr uint64_t long_running_job = 1;
/// Users tolerate a long-running task being down for 6 s, and for another 3 s
/// while there is free capacity for it.
constexpr milliseconds max_downtime{9'000};
constexpr milliseconds step_time{200};
/// A worker without an answer calls another box after this time.
constexpr milliseconds answer_limit{1'000};

}  // namespace

TEST_GROUP(lost_answer) {
  test_world world;
  milliseconds passed{0};

  void setup() override { world.configure(1, 99); }
  static fleet::step_spec make_long_running(uint32_t count) {
    fleet::step_spec step = test_world::make_step(count);
    step.set_long_running(true);
    return step;
  }
  /// Sends a call whose answer the worker does not get.
  void call_in_vain(const std::string& worker) {
    fleet::fleet_request request;
    *request.mutable_beat() = world.next_heartbeat(worker);
    world.ask(request);
  }
  /// Advances the clock by one step; "deaf" calls without getting answers, the
  /// other worker gets all of them. Returns the starts that the latter gets.
  int step(const std::string& other) {
    world.pass(step_time);
    passed += step_time;
    if (passed % answer_limit == milliseconds(0)) call_in_vain("deaf");
    return world.beat(other).starts_size();
  }
};

// The start was sent in each answer to a worker that got none of them. The task
// stayed with this worker for as long as the worker called.
TEST(lost_answer, task_stays_on_a_worker_that_gets_no_answers) {
  world.beat("deaf");
  world.submit(long_running_job, {make_long_running(1)});
  LONGS_EQUAL(1, world.controller.book().runs_on(worker_id("deaf")).size());
  call_in_vain("deaf");
  int starts = 0;
  milliseconds down{0};
  for (; starts == 0 && down < 3 * max_downtime; down += step_time)
    starts = step("other");
  CHECK_TRUE_TEXT(down <= max_downtime, std::to_string(down.count()).c_str());
}

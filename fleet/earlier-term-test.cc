// Guards against a box that leads again and still counts the waits that it saw
// in an earlier term: a task that ran in between goes before the short job that
// is due first.
#include <CppUTest/TestHarness.h>

#include "fleet/cancelled-test-world.h"

using namespace kestrelreel;
using cancelled::control_boxes;
using cancelled::heartbeat_route;
using cancelled::late_worker;

namespace {

constexpr uint64_t serving_job = 7;
constexpr uint64_t short_job = 9;

/// Carries out the starts of an answer; returns the last job started, or 0.
uint64_t call(late_worker& worker) {
  uint64_t job = 0;
  const fleet::worker_orders orders = worker.send_heartbeat();
  for (const fleet::start_order& it : orders.starts()) {
    worker.start_run(it);
    job = it.task().job();
  }
  return job;
}

void leave(control_boxes& boxes, late_worker& worker) {
  worker.drain();
  worker.send_heartbeat();
  fleet::fleet_request request;
  request.set_worker_leaves(worker.beat().worker());
  boxes.ask(request);
  boxes.pass(milliseconds(200));
}

}  // namespace

TEST_GROUP(earlier_term){};

TEST(earlier_term, wait_that_ended_in_between_counts_as_a_wait) {
  for (const bool led_before : {false, true}) {
    control_boxes boxes;
    if (!led_before) boxes.elect(1);
    fleet::step_spec step = test_world::make_step(1);
    step.set_long_running(true);
    boxes.ask(test_world::make_submit(serving_job, {step}));
    boxes.pass(milliseconds(10'000));
    boxes.elect(1);
    late_worker first(boxes, "first", heartbeat_route::direct, 1'000);
    LONGS_EQUAL(serving_job, call(first));
    for (int i = 0; i < 10; ++i) {
      boxes.pass(cancelled::heartbeat_interval);
      call(first);
    }
    leave(boxes, first);
    boxes.elect(0);
    boxes.ask(test_world::make_submit(short_job, {test_world::make_step(1)}));
    late_worker next(boxes, "next", heartbeat_route::direct, 1'000);
    LONGS_EQUAL_TEXT(short_job, call(next),
                     led_before ? "led before" : "leads for the first time");
  }
}

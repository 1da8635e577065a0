// The start of a suspect needs two entries in the log: the start, and that it
// is ordered. It is not withdrawn before its worker's next call.
#include <CppUTest/TestHarness.h>

#include <deque>

#include "fleet/fleet-test-world.h"

using namespace kestrelreel;

namespace {

const worker_id lost("lost");
const worker_id caller("caller");
constexpr milliseconds commit_time{300};
constexpr milliseconds step_time{100};

controller_settings make_rarely_called() {
  controller_settings settings = test_world::make_settings();
  // The worker is asked to call once a second.
  settings.max_heartbeats_per_s = 1;
  return settings;
}

}  // namespace

TEST_GROUP(withdrawn_suspect) {
  test_world world{make_rarely_called()};
  struct entry {
    time_point due;
    fleet::fleet_command command;
  };
  std::deque<entry> entries;
  int answers = 0;
  fleet::worker_orders orders;

  void setup() override { world.configure(1, 99); }
  void call() {
    fleet::fleet_request request;
    *request.mutable_beat() = world.next_heartbeat(caller.str());
    world.controller.request(request, [this](fleet::fleet_response it) {
      orders = it.orders();
      ++answers;
    });
  }
  void decide() {
    world.controller.decide();
    for (fleet::fleet_command& it : world.log.proposed)
      entries.push_back({world.clock.now() + commit_time, std::move(it)});
    world.log.proposed.clear();
  }
  void one_step() {
    world.clock.advance(step_time);
    while (!entries.empty() && entries.front().due <= world.clock.now()) {
      const fleet::fleet_command command = std::move(entries.front().command);
      entries.pop_front();
      world.controller.applied(command);
    }
    world.controller.tick();
    decide();
  }
  /// The task's first run, at another worker, has crashed it.
  void make_suspect() {
    fleet::step_spec step = test_world::make_step(1);
    step.set_long_running(true);
    world.beat(lost.str());
    world.submit(1, {step});
    world.beat(lost.str());
    LONGS_EQUAL(1, world.controller.book().runs_on(lost).size());
    fleet::fleet_command command;
    command.mutable_loss()->set_worker(lost.str());
    command.mutable_loss()->set_gone(true);
    command.mutable_loss()->set_over(true);
    fleet::run_loss& it = *command.mutable_loss()->add_runs();
    *it.mutable_task() = to_ref({job_number(1), 0, 0, 0});
    it.set_run(1);
    it.set_crash_evidence(4);
    world.controller.applied(command);
    LONGS_EQUAL(1, world.controller.book().suspects().size());
  }
};

// The answer left while the second entry was in the log, and asked for the next
// call after the usual interval; the start was withdrawn before.
TEST(withdrawn_suspect, order_is_recorded_after_the_answer) {
  world.next_heartbeat(caller.str());
  make_suspect();
  call();
  decide();
  milliseconds waited{0};
  for (; answers == 0 && waited < milliseconds(2'000); waited += step_time)
    one_step();
  LONGS_EQUAL(1, answers);
  LONGS_EQUAL(0, orders.starts_size());
  LONGS_EQUAL(1, world.controller.book().runs_on(caller).size());
  for (milliseconds at{0};
       at < milliseconds(static_cast<int64_t>(orders.next_beat_ms()));
       at += step_time)
    one_step();
  LONGS_EQUAL(1, world.controller.book().runs_on(caller).size());
  call();
  for (milliseconds at{0}; answers == 1 && at < milliseconds(1'000);
       at += step_time)
    one_step();
  LONGS_EQUAL(2, answers);
  LONGS_EQUAL(1, orders.starts_size());
  LONGS_EQUAL(2, orders.starts(0).run());
}

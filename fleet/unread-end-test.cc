// Ends that were listed in time and that a lagging leader has not read yet.
#include <CppUTest/TestHarness.h>

#include <string>
#include <utility>
#include <vector>

#include "fleet/fleet-test-world.h"

using namespace kestrelreel;

namespace {

constexpr int other_workers = 8;
constexpr milliseconds step_time{100};
/// Time from sending to reading each heartbeat: half of what a worker waits.
constexpr milliseconds read_delay{500};

}  // namespace

TEST_GROUP(unread_end) {
  test_world world;
  std::vector<std::pair<time_point, fleet::worker_beat>> unread;
  int starts = 0;

  static std::string name(int i) { return "w" + std::to_string(i); }
  void send(const std::string& worker) {
    const fleet::worker_beat& beat = world.next_heartbeat(worker);
    unread.emplace_back(world.clock.now() + read_delay, beat);
  }
  void read() {
    std::erase_if(unread, [this](const auto& it) {
      if (it.first > world.clock.now()) return false;
      fleet::fleet_request call;
      *call.mutable_beat() = it.second;
      world.controller.request(call, [this](const auto& response) {
        starts += response.orders().starts_size();
      });
      return true;
    });
  }
  /// The other workers call in turn.
  void pass(milliseconds n) {
    for (milliseconds at{0}; at < n; at += step_time) {
      world.clock.advance(step_time);
      send(name(static_cast<int>(world.clock.now() / step_time) %
                other_workers));
      read();
      world.controller.tick();
      world.commit();
    }
  }
  void prepare() {
    world.configure(1, 99);
    for (int i = 0; i < other_workers; ++i) world.beat(name(i));
    world.beat("a");
  }
  /// Starts the step on worker `a`, as no other one has the processors.
  void start_on_a(const fleet::step_spec& step) {
    for (int i = 0; i < other_workers; ++i) {
      world.workers[name(i)].set_cpu_milli(500);
      world.beat(name(i));
    }
    world.submit(1, {step});
    world.beat("a");
    LONGS_EQUAL(1, world.workers["a"].running_size());
    for (int i = 0; i < other_workers; ++i) {
      world.workers[name(i)].set_cpu_milli(4'000);
      world.beat(name(i));
    }
  }
};

// The silence was counted up to the time of the review, not up to the sending
// of the last heartbeats read.
TEST(unread_end, task_done_before_its_lease_ended_starts_again) {
  prepare();
  start_on_a(test_world::make_step(1));
  // No other heartbeat of the worker is read before its lease of 4 s ends.
  pass(milliseconds(3'900));
  const fleet::task_ref task = world.workers["a"].running(0).task();
  world.end("a", task, 1, fleet::run_done);
  send("a");
  pass(milliseconds(1'000));
  LONGS_EQUAL(fleet::job_succeeded, world.state(1).phase());
  LONGS_EQUAL(0, starts);
}

// The users of a long-running task miss it from the end of the lease on.
TEST(unread_end, long_running_task_waits_for_a_list_of_ends) {
  prepare();
  fleet::step_spec step = test_world::make_step(1);
  step.set_long_running(true);
  start_on_a(step);
  pass(milliseconds(4'500));
  LONGS_EQUAL(1, starts);
}

// A worker that restarts while a box puts off some of its calls.
#include <CppUTest/TestHarness.h>

#include <string>

#include "fleet/fleet-test-world.h"

using namespace kestrelreel;

namespace {

constexpr uint64_t long_running_job = 1;
/// Heartbeats 0.8 s apart prove that an incarnation is alive; an order and the
/// next heartbeat follow.
constexpr milliseconds takeover_time{1'600};
constexpr milliseconds longest_wait{10'000};
/// Interval between the calls that the leader reads.
constexpr milliseconds read_interval{400};

/// A long-running task runs on the first incarnation of "i" when it crashes.
/// Returns the time until another worker gets the task; the leader reads one of
/// `calls_per_read` calls of the next incarnation.
milliseconds time_until_start(uint64_t calls_per_read) {
  test_world world;
  world.configure(1, 99);
  fleet::worker_beat& it = world.workers["i"];
  it.set_born(1'000);
  world.beat("i");
  fleet::step_spec step = test_world::make_step(1);
  step.set_long_running(true);
  world.submit(long_running_job, {step});
  LONGS_EQUAL(1, world.beat("i").starts_size());
  world.beat("i");
  it.clear_running();
  it.set_sequence(0);
  it.set_born(2'000);
  milliseconds down{0};
  for (int starts = 0; starts == 0 && down < longest_wait;) {
    world.pass(read_interval);
    down += read_interval;
    it.set_sequence(it.sequence() + calls_per_read - 1);
    starts = world.beat("i").starts_size();
    starts += world.beat("other").starts_size();
  }
  return down;
}

}  // namespace

TEST_GROUP(put_off_restart){};

// Calls that a box puts off leave gaps in the worker's sequence. The leader
// took the worker for one that got no answer, and waited for the lease of its
// previous incarnation.
TEST(put_off_restart, task_waits_for_the_lease_of_an_earlier_incarnation) {
  for (const uint64_t calls_per_read : {1U, 2U, 3U}) {
    const milliseconds down = time_until_start(calls_per_read);
    const std::string text = std::to_string(calls_per_read) +
                             " calls per read: " + std::to_string(down.count());
    CHECK_TRUE_TEXT(down <= takeover_time, text.c_str());
  }
}

// Gangs of which one member's worker misses two answers.
#include <CppUTest/TestHarness.h>

#include "fleet/fleet-test-world.h"

using namespace kestrelreel;

namespace {

constexpr uint64_t gang_job = 1;
constexpr uint64_t task_cpu = 4'000;
constexpr milliseconds step_time{100};
/// A worker without an answer calls another box after this time.
constexpr milliseconds answer_limit{1'000};
constexpr milliseconds missed_for{2'100};

}  // namespace

TEST_GROUP(gang_member_given_up) {
  test_world world;

  void setup() override { world.configure(1, 99); }
  void call_in_vain(const char* worker) {
    fleet::fleet_request request;
    *request.mutable_beat() = world.next_heartbeat(worker);
    world.ask(request);
  }
};

// The start is sent no more after 2 s, and only that member is declared lost:
// the other one waits for it until its worker ends the run as `alone`.
TEST(gang_member_given_up, other_member_waits_in_vain) {
  for (const char* it : {"a", "b", "a", "b"}) world.beat(it);
  fleet::step_spec step = test_world::make_step(2, task_cpu);
  step.set_gang(true);
  world.submit(gang_job, {step});
  world.beat("a");
  LONGS_EQUAL(1, world.workers["a"].running_size());
  bool complete = false;
  bool stopped = false;
  for (milliseconds at{0}; at < milliseconds(8'000); at += step_time) {
    if (at < missed_for) {
      if (at % answer_limit == milliseconds(0)) call_in_vain("b");
    } else {
      world.beat("b");
    }
    stopped = stopped || world.beat("a").stops_size() > 0;
    complete = complete || world.workers["b"].running_size() > 0;
    world.pass(step_time);
  }
  CHECK_TRUE(complete || stopped);
}

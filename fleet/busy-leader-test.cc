// A leader that has too little processor time.
//
// Heartbeats used to wait unread until their answers came too late and were
// dropped. The leader did useless work, leases of live workers expired, and
// placed long-running tasks waited for orders that never arrived: the log of
// a leader with more expensive answers showed 89 to 315 unsent orders at a
// time while 130 to 229 workers reported free capacity for them.
#include <CppUTest/TestHarness.h>

#include "fleet/busy-leader-test-rows.h"

using namespace kestrelreel;
using busy::scenario;

TEST_GROUP(busy_leader){};

TEST(busy_leader, keeps_leases_and_orders_when_work_is_expensive) {
  const scenario rows[] = {
      {"default costs", 400, {}},
      {"reading is expensive", 400, {.read = 2'000}},
      {"answering is expensive", 400, {.answer = 2'500}},
      {"placement checks are expensive", 400, {.placement_check = 20}},
      {"everything is expensive",
       400,
       {.read = 800, .answer = 800, .placement_check = 10}},
  };
  busy::check_rows(rows);
}

TEST(busy_leader, keeps_its_answer_rate_under_overload) {
  // At 4 ms per answer the leader can answer at most `limit` workers every
  // 1.6 s; the overload is twice as many workers.
  const auto answers = [](int workers) {
    busy::busy_world world({"overload", workers, {.answer = 4'000}});
    world.pass(milliseconds(10'000));
    const uint64_t before = world.out().answers;
    world.pass(milliseconds(10'000));
    return world.out().answers - before;
  };
  constexpr int limit = 400;
  constexpr uint64_t percent = 100;
  constexpr uint64_t least_percent = 90;
  CHECK_TRUE(answers(2 * limit) * percent >= answers(limit) * least_percent);
}

// A leader that is short of processor.
//
// Where its steps took longer than it had, workers' calls waited unread until
// their answers were dropped: all that it then read and answered was work for
// nothing, leases of workers that lived lapsed, and lasting tasks that the book
// had placed waited for orders that nobody got (89 to 315 at a time were not
// yet sent, by the log of a leader with dearer answers, while 130 to 229
// workers listed room for them).
#include <CppUTest/TestHarness.h>

#include "fleet/busy-leader-test-rows.h"

using namespace kestrelreel;
using busy::scenario;

TEST_GROUP(busy_leader){};

TEST(busy_leader, keeps_leases_and_orders_whatever_its_steps_cost) {
  const scenario rows[] = {
      {"as usual", 400, {}},
      {"reading is dear", 400, {.read = 2'000}},
      {"answering is dear", 400, {.answer = 2'500}},
      {"looking is dear", 400, {.placement_check = 20}},
      {"all of it is dear",
       400,
       {.read = 800, .answer = 800, .placement_check = 10}},
  };
  busy::check_rows(rows);
}

TEST(busy_leader, answers_as_many_workers_beyond_its_limit) {
  // Twice as many workers as it can answer each 1.6 s.
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

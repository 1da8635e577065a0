// A leader that is short of processor.
//
// Where its steps took longer than it had, workers' calls waited unread until
// their answers were dropped: all that it then read and answered was work for
// nothing, leases of workers that lived lapsed, and lasting tasks that the book
// had placed waited for orders that nobody got (89 to 315 at a time were not
// yet sent, by the log of a leader with dearer answers, while 130 to 229
// workers listed room for them).
#include <CppUTest/TestHarness.h>

#include "fleet/busy-leader-test-world.h"

using namespace kestrelreel;
using busy::busy_world;
using busy::outcome;
using busy::setting;

TEST_GROUP(busy_leader){};

namespace {

constexpr int lasting_jobs = 20;
constexpr uint32_t lasting_width = 10;
constexpr int lost = 40;

outcome play(const setting& it) {
  busy_world world(it);
  world.pass(milliseconds(3'000));
  world.serve(lasting_jobs, lasting_width);
  world.pass(milliseconds(10'000));
  world.lose(lost);
  world.pass(milliseconds(20'000));
  return world.out();
}

void check_within(milliseconds most, milliseconds found, const char* name,
                  const char* what) {
  const std::string text =
      std::string(name) + ", " + what + ": " + std::to_string(found.count());
  CHECK_TRUE_TEXT(found <= most, text.c_str());
}

const setting settings[] = {
    {"as usual", 400, {}},
    {"reading is dear", 400, {.read = 2'000}},
    {"answering is dear", 400, {.answer = 2'500}},
    {"answering is dearer", 400, {.answer = 4'000}},
    {"looking is dear", 400, {.look = 20}},
    {"all of it is dear", 400, {.read = 800, .answer = 800, .look = 10}},
};

}  // namespace

TEST(busy_leader, keeps_leases_and_orders_whatever_its_steps_cost) {
  for (const setting& it : settings) {
    const outcome out = play(it);
    STRCMP_EQUAL_TEXT("", out.wrong.c_str(), it.name);
    CHECK_TRUE_TEXT(out.done > 0, it.name);
    LONGS_EQUAL_TEXT(0, out.lapsed, it.name);
    check_within(busy::most_away, out.longest_away, it.name, "away");
    check_within(busy::most_order_lag, out.longest_order_lag, it.name,
                 "orders behind the book");
  }
}

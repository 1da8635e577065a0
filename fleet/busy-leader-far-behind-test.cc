// The world of busy_leader where the leader can answer each worker each 1.6 s
// at best: a call that it answers too late costs its worker two turns.
#include <CppUTest/TestHarness.h>

#include "fleet/busy-leader-test-rows.h"

using namespace kestrelreel;
using busy::scenario;

TEST_GROUP(busy_leader_far_behind){};

TEST(busy_leader_far_behind, keeps_leases_and_orders) {
  const scenario rows[] = {
      {"answering is dearer", 400, {.answer = 4'000}},
  };
  busy::check_rows(rows);
}

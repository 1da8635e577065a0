// A leader that can answer each worker only every 1.6 s at best. A heartbeat
// that is answered too late costs its worker two such rounds.
#include <CppUTest/TestHarness.h>

#include "fleet/busy-leader-test-rows.h"

using namespace kestrelreel;
using busy::scenario;

TEST_GROUP(busy_leader_far_behind){};

TEST(busy_leader_far_behind, keeps_leases_and_orders) {
  const scenario rows[] = {
      {"answering is very expensive", 400, {.answer = 4'000}},
  };
  busy::check_rows(rows);
}

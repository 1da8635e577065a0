// The leader's processor time while idle hardly grows with the number of
// workers.
#include <CppUTest/TestHarness.h>

#include "fleet/fleet-cost-test-rows.h"

using namespace kestrelreel;
using busy::leader_costs;

TEST_GROUP(fleet_cost_quiet){};

TEST(fleet_cost_quiet, idle_second_costs_at_most_twice_as_much) {
  const busy::cost_row rows[] = {
      {"quiet second", &leader_costs::quiet_us, 2.0},
  };
  busy::check_costs(rows);
}

// The leader's processor time grows with the number of events, not with the
// number of workers.
//
// With 6,000 workers a leader on 0.48 cores was overloaded before the first
// request: each new worker was compared with all others, and each loop turn and
// tick scanned all of them. Heartbeats waited unread, workers retried at other
// boxes, and answers came too late.
#include <CppUTest/TestHarness.h>

#include "fleet/fleet-cost-test-rows.h"

using namespace kestrelreel;
using busy::leader_costs;

TEST_GROUP(fleet_cost){};

TEST(fleet_cost, grows_with_events_and_not_with_workers) {
  // Each worker sends heartbeats: ten times the workers send ten times as many,
  // and each may cost at most twice as much.
  const busy::cost_row rows[] = {
      {"start", &leader_costs::start_us, 2.0 * busy::times_as_large},
      {"change of leader", &leader_costs::change_us,
       2.0 * busy::times_as_large},
  };
  busy::check_costs(rows);
}

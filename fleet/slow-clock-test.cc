// A worker whose clock runs slow within the allowed drift, and that calls
// often.
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>

#include "base/clock.h"
#include "fleet/fleet-test-world.h"
#include "fleet/worker-table.h"

using namespace kestrelreel;

TEST_GROUP(slow_clock) {
  test_clock clock;
  lease_settings leases;
  worker_table table{leases, clock};
};

// The allowance for the drift was rounded down with each call. The calls of a
// worker that calls often all counted as late in the end: it was answered
// without a lease for as long as the leader led.
TEST(slow_clock, frequent_calls_of_slow_clock_count_as_late) {
  const int intervals_ms[] = {49, 60, 99, 240};
  for (const int interval : intervals_ms) {
    worker_table workers(leases, clock);
    fleet::worker_beat beat;
    beat.set_worker("a");
    const time_point start = clock.now();
    int late = 0;
    milliseconds longest_delay{0};
    while (clock.now() - start < milliseconds(600'000)) {
      clock.advance(milliseconds(interval));
      beat.set_sequence(beat.sequence() + 1);
      const int64_t passed = (clock.now() - start).count();
      beat.set_clock_ms(static_cast<uint64_t>(
          1 + passed * (100 - leases.drift_percent) / 100));
      const auto arrival = workers.receive_heartbeat(beat);
      CHECK_TRUE(arrival.view != nullptr);
      late += arrival.timely ? 0 : 1;
      longest_delay = std::max(longest_delay, arrival.view->delay);
    }
    LONGS_EQUAL_TEXT(0, late, std::to_string(interval).c_str());
    CHECK_TRUE(longest_delay <= milliseconds(20));
  }
}

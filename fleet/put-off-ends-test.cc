// Boxes put off most calls, as the leader is overloaded.
#include <CppUTest/TestHarness.h>

#include "fleet/busy-leader-test-rows.h"

using namespace kestrelreel;
using busy::scenario;

namespace {

/// As for heartbeats: a worker calls three times per lease at any load.
constexpr milliseconds max_end_lag = max_lease_duration / 3;

busy::outcome run_overloaded(const scenario& it) {
  constexpr milliseconds start{3'000};
  constexpr milliseconds length{15'000};
  busy::busy_world world(it);
  world.pass(start);
  world.submit_long_running(busy::long_running_jobs,
                            busy::tasks_per_long_running_job);
  world.pass(length);
  return world.out();
}

}  // namespace

TEST_GROUP(put_off_ends){};

// Ends of a worker whose calls were put off for a whole lease were read after
// its runs had been declared lost.
TEST(put_off_ends, task_done_on_a_worker_put_off_for_a_lease_starts_again) {
  const scenario rows[] = {
      {"answers are expensive", 800, {.answer = 4'000}},
      {"more workers, cheaper answers", 1'100, {.answer = 3'000}},
  };
  for (const scenario& it : rows) {
    const busy::outcome out = run_overloaded(it);
    STRCMP_EQUAL_TEXT("", out.violation.c_str(), it.name);
    CHECK_TRUE_TEXT(out.done > 0, it.name);
    LONGS_EQUAL_TEXT(0, out.restarts_after_success, it.name);
    busy::check_within(max_end_lag, out.longest_end_lag, it.name,
                       "an end unrecorded");
  }
}

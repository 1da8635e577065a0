// Guards the counts of the log line of held processors: a shortage could not be
// told from its parts.
#include <CppUTest/TestHarness.h>

#include "fleet/reservation-types.h"

using namespace kestrelreel;

namespace {

fleet::step_spec step_of(uint64_t cpu, bool long_running, bool backfill) {
  fleet::step_spec out;
  out.set_cpu_milli(cpu);
  out.set_long_running(long_running);
  out.set_fills(backfill);
  return out;
}

}  // namespace

TEST_GROUP(wait_reports){};

TEST(wait_reports, held_processors_by_kind_of_run) {
  held_processors held;
  held.add(step_of(1'000, true, false), run_number(1), true);
  held.add(step_of(2'000, true, false), run_number(2), false);
  held.add(step_of(4'000, false, false), run_number(1), true);
  held.add(step_of(8'000, false, false), run_number(3), false);
  held.add(step_of(16'000, false, true), run_number(1), false);
  LONGS_EQUAL(1'000, held.long_running);
  LONGS_EQUAL(2'000, held.resumed);
  LONGS_EQUAL(12'000, held.others);
  LONGS_EQUAL(16'000, held.backfill);
  LONGS_EQUAL(10'000, held.unlisted);
}

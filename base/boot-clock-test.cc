// A box that was suspended took old leases for valid ones.
#include <CppUTest/TestHarness.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <ctime>

#include "base/clock.h"

using namespace kestrelreel;

namespace {

/// How long the box was suspended; the steady clock does not count it.
long suspended_s = 0;

}  // namespace

// Takes the place of the C library's.
extern "C" int clock_gettime(clockid_t id, timespec* out) noexcept {
  const long rc = syscall(SYS_clock_gettime, id, out);
  const bool counts = id == CLOCK_BOOTTIME || id == CLOCK_REALTIME;
  if (rc == 0 && counts) out->tv_sec += suspended_s;
  return static_cast<int>(rc);
}

TEST_GROUP(boot_clock){void teardown() override{suspended_s = 0;
}
}
;

TEST(boot_clock, counts_the_time_for_which_the_box_was_suspended) {
  constexpr milliseconds suspension{5'000};
  constexpr milliseconds at_most{60'000};
  const boot_clock clock;
  const time_point before = clock.now();
  suspended_s = 5;
  const milliseconds passed = clock.now() - before;
  CHECK_TRUE(passed >= suspension);
  CHECK_TRUE(passed < suspension + at_most);
}

TEST(boot_clock, never_goes_back) {
  const boot_clock clock;
  time_point last = clock.now();
  for (int i = 0; i < 1'000; ++i) {
    const time_point now = clock.now();
    CHECK_TRUE(now >= last);
    last = now;
  }
}

// Which requests an entry box asks for again.
#include "daemon/ask-again.h"

#include <CppUTest/TestHarness.h>

using namespace kestrelreel;

TEST_GROUP(ask_again){};

TEST(ask_again, what_may_have_run_is_asked_for_until_its_caller_gives_up) {
  struct row {
    const char* name;
    int asked_for_ms;
    int left_ms;
    bool may_have_run;
    bool again;
  };
  const row rows[] = {
      {"no leader at first", 0, 3'000, false, true},
      {"no leader for long", 200, 2'800, false, false},
      {"a leader fell silent with it", 1'000, 1'900, true, true},
      {"its caller gives up", 2'900, 50, true, false},
      {"its caller gave up", 3'000, -10, true, false},
      {"no time from the start", 0, 40, false, false},
  };
  for (const row& it : rows) {
    const unsettled_request request{milliseconds(it.asked_for_ms),
                                    milliseconds(it.left_ms), it.may_have_run};
    CHECK_EQUAL_TEXT(it.again, asks_again(request), it.name);
  }
}

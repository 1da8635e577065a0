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
    int connecting_ms = 0;
  };
  const row rows[] = {
      {"no leader at first", 0, 3'000, false, true},
      {"no leader for long", 200, 2'800, false, false},
      {"a leader fell silent with it", 1'000, 1'900, true, true},
      {"its caller gives up", 2'900, 50, true, false},
      {"its caller gave up", 3'000, -10, true, false},
      {"no time from the start", 0, 40, false, false},
      {"a connection was not made", 650, 2'000, false, true, 600},
      {"no leader for long after that", 850, 2'000, false, false, 600},
  };
  for (const row& it : rows) {
    const unsettled_request request{milliseconds(it.asked_for_ms),
                                    milliseconds(it.left_ms), it.may_have_run,
                                    milliseconds(it.connecting_ms)};
    CHECK_EQUAL_TEXT(it.again, asks_again(request), it.name);
  }
}

TEST(ask_again, refusal_settles_only_what_cannot_have_run) {
  using enum request_kind;
  struct row {
    const char* name;
    fleet::fleet_status outcome;
    request_kind kind;
    bool may_have_run;
    bool settled;
  };
  const row rows[] = {
      {"taken", fleet::fleet_ok, submission, true, true},
      {"refused", fleet::fleet_refused, submission, false, true},
      {"refused after no answer", fleet::fleet_refused, submission, true,
       false},
      {"no queue after no answer", fleet::fleet_no_queue, submission, true,
       false},
      {"invalid after no answer", fleet::fleet_invalid, submission, true,
       false},
      {"no job after no answer", fleet::fleet_no_job, submission, true, false},
      {"cancelled job is gone", fleet::fleet_no_job, cancel, true, true},
      {"cancel, no queue after no answer", fleet::fleet_no_queue, cancel, true,
       false},
      {"read, no queue after no answer", fleet::fleet_no_queue, read, true,
       true},
      {"read, no job after no answer", fleet::fleet_no_job, read, true, true},
      {"no leader", fleet::fleet_unavailable, submission, false, false},
      {"no answer", fleet::fleet_unknown, submission, true, false},
  };
  for (const row& it : rows) {
    CHECK_EQUAL_TEXT(it.settled, settles(it.outcome, it.kind, it.may_have_run),
                     it.name);
  }
}

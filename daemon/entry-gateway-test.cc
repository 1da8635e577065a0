// Jobs ran whose callers had been told that they were not taken. One road to
// that: an entry box asks the leader again while a caller waits; the first try
// gets no answer and is on its way into the log, the second is refused, as too
// much waits or its queue is gone, and the caller was told of the second alone:
// "refused", which promises that the job never runs. Settled by the row "no
// answer, then refused" below, which ended in `refused` after 0.7 s.
#include <CppUTest/TestHarness.h>

#include <chrono>
#include <optional>
#include <vector>

#include "daemon/entry-gateway-test-world.h"

using namespace kestrelreel;

TEST_GROUP_BASE(entry_gateway, gateway_group){};

TEST(entry_gateway, answer_holds_for_all_tries) {
  struct row {
    const char* name;
    asked what;
    std::vector<reply> replies;
    fleet::fleet_status status;
  };
  using enum reply;
  const row rows[] = {
      {"taken", asked::submit, {ok}, fleet::fleet_ok},
      {"refused", asked::submit, {refused}, fleet::fleet_refused},
      {"no queue", asked::submit, {no_queue}, fleet::fleet_no_queue},
      {"invalid", asked::submit, {invalid}, fleet::fleet_invalid},
      {"never a leader",
       asked::submit,
       {unavailable},
       fleet::fleet_unavailable},
      {"a leader at last", asked::submit, {unavailable, ok}, fleet::fleet_ok},
      {"no leader, then refused",
       asked::submit,
       {unavailable, refused},
       fleet::fleet_refused},
      {"never an answer", asked::submit, {silent}, fleet::fleet_unknown},
      {"no answer, then taken", asked::submit, {silent, ok}, fleet::fleet_ok},
      {"no answer, then refused",
       asked::submit,
       {silent, refused},
       fleet::fleet_unknown},
      {"no answer, then no queue",
       asked::submit,
       {silent, no_queue},
       fleet::fleet_unknown},
      {"no answer, then invalid",
       asked::submit,
       {silent, invalid},
       fleet::fleet_unknown},
      {"no answer, then no leader",
       asked::submit,
       {silent, unavailable},
       fleet::fleet_unknown},
      {"no answer, refused, then taken",
       asked::submit,
       {silent, refused, ok},
       fleet::fleet_ok},
      {"state after no answer",
       asked::state,
       {silent, no_job},
       fleet::fleet_no_job},
      {"cancel after no answer, over already",
       asked::cancel,
       {silent, no_job},
       fleet::fleet_no_job},
      {"cancel after no answer, no queue",
       asked::cancel,
       {silent, no_queue},
       fleet::fleet_unknown},
  };
  for (const row& it : rows) {
    const fleet::fleet_status status = ask(it.what, it.replies);
    LONGS_EQUAL_TEXT(it.status, status, it.name);
  }
}

// The box stood still while the caller waited; by then the caller may have left
// and cancelled the job elsewhere.
TEST(entry_gateway, nothing_is_asked_once_the_callers_time_is_over) {
  replies = {reply::unavailable, reply::ok};
  CHECK_TRUE(eventually([this] { return gateway().ready(); }));
  std::optional<fleet::fleet_status> status;
  gateway().ask(request_of(asked::submit), milliseconds(300),
                [&](const fleet::fleet_response& it) { status = it.status(); });
  CHECK_TRUE(eventually([this] { return tries == 1; }));
  // The answer is in, and the pause before the next try has begun.
  context.io.run_for(std::chrono::milliseconds(20));
  const auto until = context.clock.now() + milliseconds(400);
  while (context.clock.now() < until) {
  }
  CHECK_TRUE(eventually([&] { return status.has_value(); }));
  LONGS_EQUAL(fleet::fleet_unavailable, *status);
  LONGS_EQUAL(1, tries);
}

// A leader that refuses for too much to do is not asked twenty times a second.
TEST(entry_gateway, refusing_leader_is_asked_again_with_longer_pauses) {
  LONGS_EQUAL(fleet::fleet_unknown,
              ask(asked::submit, {reply::silent, reply::refused}));
  // 0.9 s are left after the first try.
  CHECK_TRUE(tries >= 3);
  CHECK_TRUE(tries <= 6);
}

// The later tries find nobody to ask, which says nothing of the first.
TEST(entry_gateway, what_a_leader_that_goes_away_has_read_may_have_run) {
  replies = {reply::silent};
  CHECK_TRUE(eventually([this] { return gateway().ready(); }));
  std::optional<fleet::fleet_status> status;
  gateway().ask(request_of(asked::submit), milliseconds(1'500),
                [&](const fleet::fleet_response& it) { status = it.status(); });
  CHECK_TRUE(eventually([this] { return tries == 1; }));
  leader->close();
  CHECK_TRUE(eventually([&] { return status.has_value(); }));
  LONGS_EQUAL(fleet::fleet_unknown, *status);
  LONGS_EQUAL(1, tries);
}

TEST(entry_gateway, without_a_leader_in_reach_nobody_was_asked) {
  leader->close();
  std::optional<fleet::fleet_status> status;
  gateway().ask(request_of(asked::submit), milliseconds(1'500),
                [&](const fleet::fleet_response& it) { status = it.status(); });
  CHECK_TRUE(eventually([&] { return status.has_value(); }));
  LONGS_EQUAL(fleet::fleet_unavailable, *status);
  LONGS_EQUAL(0, tries);
}

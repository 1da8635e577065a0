// What an entry box holds while there is no leader, and what it answers.
#include <CppUTest/TestHarness.h>

#include <optional>
#include <vector>

#include "daemon/ask-again.h"
#include "daemon/entry-gateway-test-world.h"

using namespace kestrelreel;

TEST_GROUP_BASE(gateway_hold, gateway_group){};
TEST_GROUP(gateway_hold_rows){};

// Submissions were given up 200 ms after they came, while a new leader was a
// second away and their callers waited for three.
TEST(gateway_hold, submission_waits_for_a_leader) {
  struct row {
    const char* name;
    bool holds;
    asked what;
    size_t leaderless_tries;
    fleet::fleet_status status;
    milliseconds limit{1'500};
  };
  const row rows[] = {
      {"off", false, asked::submit, 8, fleet::fleet_unavailable},
      {"held", true, asked::submit, 8, fleet::fleet_ok, long_limit},
      {"no leader in time", true, asked::submit, 1'000,
       fleet::fleet_unavailable},
      {"a read is not held", true, asked::state, 8, fleet::fleet_unavailable},
      {"a cancel is not held", true, asked::cancel, 8,
       fleet::fleet_unavailable},
  };
  for (const row& it : rows) {
    context.settings.hold_without_leader = it.holds;
    std::vector<reply> replies_then_ok(it.leaderless_tries, reply::unavailable);
    replies_then_ok.push_back(reply::ok);
    LONGS_EQUAL_TEXT(it.status, ask(it.what, replies_then_ok, it.limit),
                     it.name);
  }
}

// It is held past the patience with no leader, and answered while its caller
// still listens.
TEST(gateway_hold, without_a_leader_in_time_its_caller_is_told_in_time) {
  context.settings.hold_without_leader = true;
  replies = {reply::unavailable};
  CHECK_TRUE(eventually([this] { return gateway().ready(); }));
  const milliseconds limit(1'500);
  const time_point asked_at = context.clock.now();
  submit(1, limit);
  CHECK_TRUE(eventually([this] { return !answers.empty(); }));
  const milliseconds waited = context.clock.now() - asked_at;
  LONGS_EQUAL(fleet::fleet_unavailable, answers[0].status());
  STRCMP_EQUAL("no-leader-in-time", answers[0].reason().c_str());
  CHECK_TRUE(waited > 2 * leader_patience);
  CHECK_TRUE(waited < limit);
}

// The leader is behind a box that passes requests on: what this box held stayed
// where it was.
TEST(gateway_hold, held_submission_is_sent_through_a_relay) {
  context.settings.hold_without_leader = true;
  hello.set_leader("127.0.46.3");
  hello.set_decides(false);
  std::vector<reply> of(8, reply::unavailable);
  of.push_back(reply::ok);
  LONGS_EQUAL(fleet::fleet_ok, ask(asked::submit, of, long_limit));
  LONGS_EQUAL(1, held());
}

// Held ones were sent, refused and held again without a pause.
TEST(gateway_hold, unavailable_leader_is_spared) {
  hold(20, reply::unavailable);
  run_for(milliseconds(1'000));
  CHECK_TRUE(tries >= 1);
  CHECK_TRUE(tries <= 4 * hold_limits().release_batch);
  LONGS_EQUAL(20, held());
}

TEST(gateway_hold, one_is_sent_first_to_a_new_leader) {
  hold(20, std::nullopt);
  replies = {reply::later, reply::ok};
  start_leader();
  CHECK_TRUE(eventually([this] { return tries == 1; }));
  run_for(milliseconds(200));
  LONGS_EQUAL(1, tries);
  LONGS_EQUAL(0, answers.size());
  fleet::fleet_response taken;
  taken.set_status(fleet::fleet_ok);
  waiting.at(0)(taken);
  CHECK_TRUE(eventually([this] { return answers.size() == 20; }));
  for (const auto& it : answers) LONGS_EQUAL(fleet::fleet_ok, it.status());
  LONGS_EQUAL(20, tries);
}

TEST(gateway_hold, leader_that_comes_takes_what_is_held) {
  hold(1, std::nullopt);
  run_for(milliseconds(500));
  start_leader();
  CHECK_TRUE(eventually([this] { return !answers.empty(); }));
  LONGS_EQUAL(fleet::fleet_ok, answers[0].status());
  LONGS_EQUAL(1, tries);
}

TEST(gateway_hold, leader_that_comes_and_vanishes_may_have_taken_it) {
  context.settings.hold_without_leader = true;
  replies = {reply::silent};
  CHECK_TRUE(eventually([this] { return gateway().ready(); }));
  lose_leader();
  submit(1, milliseconds(4'000));
  CHECK_TRUE(eventually([this] { return held() == 1; }));
  start_leader();
  CHECK_TRUE(eventually([this] { return tries == 1; }));
  leader->close();
  CHECK_TRUE(eventually([this] { return !answers.empty(); }));
  LONGS_EQUAL(fleet::fleet_unknown, answers[0].status());
  LONGS_EQUAL(1, tries);
}

// What a leader has read is asked for again, and not held: its caller must not
// be told that it was not taken.
TEST(gateway_hold, submission_that_may_have_run_is_not_held_again) {
  context.settings.hold_without_leader = true;
  replies.assign(6, reply::unavailable);
  replies.push_back(reply::silent);
  replies.push_back(reply::unavailable);
  CHECK_TRUE(eventually([this] { return gateway().ready(); }));
  submit(1, milliseconds(4'000));
  CHECK_TRUE(eventually([this] { return tries == 7; }));
  LONGS_EQUAL(1, held());
  const uint64_t released_so_far = released();
  CHECK_TRUE(released_so_far >= 1);
  CHECK_TRUE(eventually([this] { return !answers.empty(); }));
  LONGS_EQUAL(fleet::fleet_unknown, answers[0].status());
  LONGS_EQUAL(released_so_far, released());
  CHECK_TRUE(tries > 8);
}

TEST(gateway_hold, what_does_not_fit_is_told_at_once) {
  struct row {
    const char* name;
    size_t n;
    size_t bytes;
    size_t least_held;
    size_t least_told;
  };
  const size_t most = hold_limits().max_held;
  const size_t large = hold_limits().max_bytes / 8;
  const row rows[] = {{"too many", most + 20, 0, 300, 20},
                      {"too large", 12, large, 7, 5}};
  context.settings.hold_without_leader = true;
  for (const row& it : rows) {
    CHECK_TRUE(eventually([this] { return gateway().ready(); }));
    lose_leader();
    answers.clear();
    const uint64_t held_before = held();
    const time_point asked_at = context.clock.now();
    submit(it.n, long_limit, it.bytes);
    CHECK_TRUE_TEXT(eventually([&] {
                      return held() - held_before + answers.size() >= it.n;
                    }),
                    it.name);
    CHECK_TRUE_TEXT(context.clock.now() - asked_at < milliseconds(2'000),
                    it.name);
    CHECK_TRUE_TEXT(answers.size() >= it.least_told, it.name);
    CHECK_TRUE_TEXT(held() - held_before >= it.least_held, it.name);
    for (const auto& answer : answers) {
      LONGS_EQUAL_TEXT(fleet::fleet_unavailable, answer.status(), it.name);
      STRCMP_EQUAL_TEXT("too-many-held", answer.reason().c_str(), it.name);
    }
    // The usual caller's time, which ends before that of these callers.
    CHECK_TRUE_TEXT(eventually([&] { return answers.size() == it.n; }),
                    it.name);
    CHECK_TRUE_TEXT(context.clock.now() - asked_at < long_limit / 2, it.name);
    start_leader();
  }
}

// Nothing tells that a leader comes while a caller of now waits.
TEST(gateway_hold_rows, nothing_is_held_without_a_leader_to_expect) {
  struct row {
    const char* name;
    bool heard_of_one;
    bool configured;
    milliseconds away;
    uint64_t held;
    const char* reason;
  };
  const milliseconds too_long =
      hold_limits().longest_absence + milliseconds(500);
  const row rows[] = {
      {"away for a moment", true, true, milliseconds(0), 1,
       "no-leader-in-time"},
      {"away for long", true, true, too_long, 0, "no-leader-in-reach"},
      {"never heard of one", false, true, milliseconds(0), 0,
       "no-leader-in-reach"},
      {"without a configuration", true, false, milliseconds(0), 0, ""}};
  for (const row& it : rows) {
    gateway_world world;
    world.begin();
    world.context.settings.hold_without_leader = true;
    world.replies = {reply::unavailable};
    world.hello.set_config_version(it.configured ? 1 : 0);
    if (it.heard_of_one)
      CHECK_TRUE(world.eventually([&] { return world.gateway().ready(); }));
    if (it.configured) world.lose_leader();
    world.run_for(it.away);
    world.submit(1, milliseconds(1'500));
    CHECK_TRUE(world.eventually([&] { return !world.answers.empty(); }));
    LONGS_EQUAL_TEXT(fleet::fleet_unavailable, world.answers[0].status(),
                     it.name);
    LONGS_EQUAL_TEXT(it.held, world.held(), it.name);
    STRCMP_EQUAL_TEXT(it.reason, world.answers[0].reason().c_str(), it.name);
  }
}

// A new leader that has no configuration takes no job.
TEST(gateway_hold, leader_without_a_configuration_is_not_waited_for) {
  hold(2, std::nullopt);
  hello.set_config_version(0);
  start_leader();
  const time_point came_at = context.clock.now();
  CHECK_TRUE(eventually([this] { return answers.size() == 2; }));
  CHECK_TRUE(context.clock.now() - came_at < milliseconds(1'500));
  LONGS_EQUAL(fleet::fleet_unavailable, answers[0].status());
  LONGS_EQUAL(0, tries);
}

TEST(gateway_hold, held_submission_is_answered_before_the_box_ends) {
  hold(1, reply::unavailable);
  context.answers_due = context.clock.now() + milliseconds(600);
  CHECK_TRUE(eventually([this] { return !answers.empty(); }));
  LONGS_EQUAL(fleet::fleet_unavailable, answers[0].status());
  STRCMP_EQUAL("box-ends", answers[0].reason().c_str());
  CHECK_TRUE(context.clock.now() < context.answers_due);
}

// Jobs ran whose callers had been told that they were not taken. One road to
// that: an entry box asks the leader again while a caller waits; the first try
// gets no answer and is on its way into the log, the second is refused, as too
// much waits or its queue is gone, and the caller was told of the second alone:
// "refused", which promises that the job never runs. Settled by the row "no
// answer, then refused" below, which ended in `refused` after 0.7 s.
#include <CppUTest/TestHarness.h>
#include <unistd.h>

#include <chrono>
#include <optional>
#include <vector>

#include "daemon/entry-gateway-service.h"
#include "daemon/leader-test-parts.h"
#include "daemon/mesh-service.h"

using namespace kestrelreel;

namespace {

const auto gateway_port = static_cast<uint16_t>(20'000 + getpid() % 10'000);
constexpr const char* entry_box = "127.0.46.1";
constexpr const char* leader_box = "127.0.46.2";
constexpr std::chrono::seconds gateway_patience{60};

/// What the leader does with one try; `silent` leaves it without an answer.
enum class reply {
  silent,
  ok,
  refused,
  no_queue,
  no_job,
  invalid,
  unavailable
};

fleet::fleet_status status_of(reply it) {
  switch (it) {
    case reply::ok:
      return fleet::fleet_ok;
    case reply::refused:
      return fleet::fleet_refused;
    case reply::no_queue:
      return fleet::fleet_no_queue;
    case reply::no_job:
      return fleet::fleet_no_job;
    case reply::invalid:
      return fleet::fleet_invalid;
    case reply::unavailable:
      return fleet::fleet_unavailable;
    case reply::silent:
      break;
  }
  return fleet::fleet_unknown;
}

enum class asked { submit, state, cancel };

fleet::fleet_request request_of(asked what) {
  fleet::fleet_request request;
  fleet::job_call& job = *request.mutable_job();
  job.set_job(7);
  if (what == asked::submit) job.mutable_submit()->set_job(7);
  if (what == asked::state) job.set_state(true);
  if (what == asked::cancel) job.set_cancel(true);
  return request;
}

}  // namespace

TEST_GROUP(entry_gateway) {
  seeded_context context;
  service_registry registry;
  std::unique_ptr<peer_mesh> leader;
  std::vector<reply> replies;
  size_t tries = 0;
  std::vector<time_point> tried_at;

  void setup() override {
    context.settings.box = box_id(entry_box);
    context.settings.peer_port = gateway_port;
    context.settings.seeds = {box_id(leader_box)};
    leader = std::make_unique<peer_mesh>(context.io, context.clock,
                                         box_id(leader_box), gateway_port);
    peer_mesh::handlers handlers;
    handlers.on_message = greet_as_leader(leader_box);
    handlers.on_request = [this](const auto&, const auto& respond) {
      const reply it = replies.at(std::min(tries, replies.size() - 1));
      ++tries;
      tried_at.push_back(context.clock.now());
      if (it == reply::silent) return;
      fleet::fleet_response response;
      response.set_status(status_of(it));
      respond(response);
    };
    leader->set_handlers(handlers);
    CHECK_TRUE(leader->listen().ok());
    CHECK_TRUE(registry.add(std::make_unique<mesh_service>(context)).ok());
    CHECK_TRUE(
        registry.add(std::make_unique<entry_gateway_service>(context)).ok());
    CHECK_TRUE(registry.start().ok());
  }
  void teardown() override {
    registry.stop();
    leader->close();
  }
  entry_gateway_service& gateway() {
    return *registry.find<entry_gateway_service>(seeded_names::gateway);
  }
  template <typename Holds>
  bool eventually(const Holds& holds) {
    const auto end = std::chrono::steady_clock::now() + gateway_patience;
    while (std::chrono::steady_clock::now() < end) {
      if (holds()) return true;
      context.io.run_one_for(std::chrono::milliseconds(20));
    }
    return false;
  }
  fleet::fleet_status ask(asked what, std::vector<reply> of) {
    replies = std::move(of);
    tries = 0;
    tried_at.clear();
    CHECK_TRUE(eventually([this] { return gateway().ready(); }));
    std::optional<fleet::fleet_status> status;
    gateway().ask(
        request_of(what), milliseconds(1'500),
        [&](const fleet::fleet_response& it) { status = it.status(); });
    CHECK_TRUE(eventually([&] { return status.has_value(); }));
    return *status;
  }
};

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

// Submissions were given up 200 ms after they came, while a new leader was a
// second away and their callers waited for three.
TEST(entry_gateway, submission_waits_for_a_leader) {
  struct row {
    const char* name;
    bool holds;
    asked what;
    size_t leaderless_tries;
    fleet::fleet_status status;
  };
  const row rows[] = {
      {"off", false, asked::submit, 8, fleet::fleet_unavailable},
      {"held", true, asked::submit, 8, fleet::fleet_ok},
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
    LONGS_EQUAL_TEXT(it.status, ask(it.what, replies_then_ok), it.name);
  }
}

// What a leader has read is asked for again, and not held: its caller must not
// be told that it was not taken.
TEST(entry_gateway, submission_that_may_have_run_is_not_held) {
  context.settings.hold_without_leader = true;
  LONGS_EQUAL(fleet::fleet_unknown,
              ask(asked::submit, {reply::silent, reply::unavailable}));
}

TEST(entry_gateway, held_submission_is_answered_before_the_box_ends) {
  context.settings.hold_without_leader = true;
  replies = {reply::unavailable};
  tries = 0;
  CHECK_TRUE(eventually([this] { return gateway().ready(); }));
  std::optional<fleet::fleet_status> status;
  gateway().ask(request_of(asked::submit), milliseconds(60'000),
                [&](const fleet::fleet_response& it) { status = it.status(); });
  CHECK_TRUE(eventually([this] { return tries >= 8; }));
  CHECK_FALSE(status.has_value());
  context.answers_due = context.clock.now() + milliseconds(600);
  CHECK_TRUE(eventually([&] { return status.has_value(); }));
  LONGS_EQUAL(fleet::fleet_unavailable, *status);
  CHECK_TRUE(context.clock.now() < context.answers_due);
}

// Submissions held while there is no leader.
#include "daemon/submission-hold.h"

#include <CppUTest/TestHarness.h>

using namespace kestrelreel;

namespace {

constexpr time_point now(50'000);
constexpr size_t size = 100;

hold_limits small_limits() {
  hold_limits out;
  out.max_held = 3;
  out.max_bytes = 1'000;
  out.release_batch = 2;
  return out;
}

time_point in(int ms) { return now + milliseconds(ms); }

std::vector<submission_id> ids(std::initializer_list<uint64_t> all) {
  std::vector<submission_id> out;
  for (const uint64_t it : all) out.emplace_back(it);
  return out;
}

}  // namespace

TEST_GROUP(submission_hold) {
  submission_hold hold{small_limits()};
  std::vector<submission_id> add(uint64_t id, int deadline_ms,
                                 size_t bytes = size) {
    return hold.add(submission_id(id), in(deadline_ms), bytes);
  }
};

TEST(submission_hold, earliest_deadlines_are_sent_first_in_batches) {
  hold.answered();
  add(1, 3'000);
  add(2, 1'000);
  add(3, 2'000);
  CHECK_TRUE(ids({2, 3}) == hold.release(now));
  CHECK_TRUE(hold.release(in(49)).empty());
  CHECK_TRUE(ids({1}) == hold.release(in(50)));
  LONGS_EQUAL(0, hold.size());
}

TEST(submission_hold, latest_deadline_gives_way_when_full) {
  for (int i = 1; i <= 3; ++i)
    CHECK_TRUE(add(static_cast<uint64_t>(i), i * 1'000).empty());
  CHECK_TRUE(ids({3}) == add(4, 1'500));
  CHECK_TRUE(ids({5}) == add(5, 9'000));
  LONGS_EQUAL(3, hold.size());
}

TEST(submission_hold, several_give_way_to_a_large_one) {
  add(1, 3'000, 400);
  add(2, 2'000, 400);
  CHECK_TRUE(ids({1, 2}) == add(3, 1'000, 700));
  // One that is too large by itself costs no other its place.
  CHECK_TRUE(ids({4}) == add(4, 500, 1'001));
  LONGS_EQUAL(1, hold.size());
}

TEST(submission_hold, bytes_are_given_back) {
  hold.answered();
  add(1, 3'000, 900);
  LONGS_EQUAL(1, hold.release(now).size());
  CHECK_TRUE(add(2, 200, 900).empty());
  LONGS_EQUAL(1, hold.expire(now, in(60'000)).size());
  CHECK_TRUE(add(3, 3'000, 900).empty());
  LONGS_EQUAL(1, hold.take_all().size());
  CHECK_TRUE(add(4, 3'000, 900).empty());
}

TEST(submission_hold, what_cannot_be_sent_in_time_is_answered) {
  struct row {
    const char* name;
    int deadline_ms;
    int latest_ms;
    std::optional<hold_end> end;
  };
  using enum hold_end;
  const row rows[] = {{"time left", 3'000, 60'000, {}},
                      {"just enough", 301, 60'000, {}},
                      {"too late", 300, 60'000, no_leader_in_time},
                      {"long past", -5'000, 60'000, no_leader_in_time},
                      {"the box stops", 3'000, 200, box_ends}};
  for (const row& it : rows) {
    hold = submission_hold(small_limits());
    add(1, it.deadline_ms);
    const auto out = hold.expire(now, in(it.latest_ms));
    CHECK_EQUAL_TEXT(it.end.has_value(), !out.empty(), it.name);
    LONGS_EQUAL_TEXT(it.end ? 0 : 1, hold.size(), it.name);
    if (it.end) CHECK_TRUE_TEXT(*it.end == out[0].cause, it.name);
  }
}

// Two are sent at once and two each 50 ms, if a leader comes at once.
TEST(submission_hold, turn_that_comes_too_late_is_answered_at_once) {
  struct row {
    const char* name;
    int third_deadline_ms;
    bool paused;
    bool ends;
  };
  const row rows[] = {{"in time", 351, false, false},
                      {"too late", 350, false, true},
                      {"in time after the pause", 601, true, false},
                      {"too late after the pause", 600, true, true}};
  for (const row& it : rows) {
    hold = submission_hold(small_limits());
    if (it.paused) hold.refused(now);
    const int first_ms = it.third_deadline_ms - 1;
    add(1, first_ms);
    add(2, first_ms);
    add(3, it.third_deadline_ms);
    const auto out = hold.expire(now, in(60'000));
    LONGS_EQUAL_TEXT(it.ends ? 1 : 0, out.size(), it.name);
    const ended_submission third{submission_id(3), hold_end::too_many_held};
    if (it.ends) CHECK_TRUE_TEXT(third == out[0], it.name);
  }
}

TEST(submission_hold, equal_deadlines_keep_their_order) {
  hold.answered();
  for (uint64_t i = 1; i <= 3; ++i) add(i, 1'000);
  CHECK_TRUE(ids({1, 2}) == hold.release(now));
}

TEST(submission_hold, first_one_goes_alone_to_a_new_leader) {
  for (uint64_t i = 1; i <= 3; ++i) add(i, 3'000);
  CHECK_TRUE(ids({1}) == hold.release(now));
  CHECK_TRUE(hold.release(in(1'000)).empty());
  hold.target_changed();
  CHECK_TRUE(ids({2}) == hold.release(in(1'000)));
  hold.answered();
  CHECK_TRUE(ids({3}) == hold.release(in(1'050)));
}

TEST(submission_hold, refusal_makes_a_pause) {
  hold.answered();
  for (uint64_t i = 1; i <= 3; ++i) add(i, 3'000);
  CHECK_TRUE(ids({1, 2}) == hold.release(now));
  hold.refused(in(10));
  CHECK_TRUE(hold.release(in(259)).empty());
  // A new leader has not refused anything.
  hold.target_changed();
  CHECK_TRUE(ids({3}) == hold.release(in(259)));
  hold.refused(in(300));
  add(4, 3'000);
  CHECK_TRUE(hold.release(in(549)).empty());
  CHECK_TRUE(ids({4}) == hold.release(in(550)));
}

TEST(submission_hold, leader_is_expected_for_as_long_as_callers_wait) {
  const hold_limits limits;
  CHECK_TRUE(submission_hold().leader_expected(limits.usual_wait));
  CHECK_FALSE(
      submission_hold().leader_expected(limits.usual_wait + milliseconds(1)));
}

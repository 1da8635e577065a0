// Submissions held while there is no leader.
#include "daemon/submission-hold.h"

#include <CppUTest/TestHarness.h>

using namespace kestrelreel;

namespace {

constexpr time_point now(50'000);
constexpr hold_limits limits{3, milliseconds(300), 2, milliseconds(50)};

time_point in(int ms) { return now + milliseconds(ms); }

std::vector<submission_id> ids(std::initializer_list<uint64_t> all) {
  std::vector<submission_id> out;
  for (const uint64_t it : all) out.emplace_back(it);
  return out;
}

}  // namespace

TEST_GROUP(submission_hold){};

TEST(submission_hold, earliest_deadlines_are_sent_first_in_batches) {
  submission_hold hold(limits);
  hold.add(submission_id(1), in(3'000));
  hold.add(submission_id(2), in(1'000));
  hold.add(submission_id(3), in(2'000));
  CHECK_TRUE(ids({2, 3}) == hold.release(now));
  CHECK_TRUE(hold.release(in(49)).empty());
  CHECK_TRUE(ids({1}) == hold.release(in(50)));
  LONGS_EQUAL(0, hold.size());
}

TEST(submission_hold, latest_deadline_gives_way_when_full) {
  submission_hold hold(limits);
  for (uint64_t i = 1; i <= 3; ++i)
    CHECK_FALSE(hold.add(submission_id(i), in(static_cast<int>(i) * 1'000)));
  CHECK_TRUE(submission_id(3) == hold.add(submission_id(4), in(1'500)));
  CHECK_TRUE(submission_id(5) == hold.add(submission_id(5), in(9'000)));
  LONGS_EQUAL(3, hold.size());
}

TEST(submission_hold, what_cannot_be_sent_in_time_is_answered) {
  struct row {
    const char* name;
    int deadline_ms;
    int latest_ms;
    bool expires;
  };
  const row rows[] = {{"time left", 3'000, 60'000, false},
                      {"just enough", 301, 60'000, false},
                      {"too late", 300, 60'000, true},
                      {"long past", -5'000, 60'000, true},
                      {"the box stops", 3'000, 200, true}};
  for (const row& it : rows) {
    submission_hold hold(limits);
    hold.add(submission_id(1), in(it.deadline_ms));
    const auto out = hold.expire(now, in(it.latest_ms));
    CHECK_EQUAL_TEXT(it.expires, !out.empty(), it.name);
    LONGS_EQUAL_TEXT(it.expires ? 0 : 1, hold.size(), it.name);
  }
}

TEST(submission_hold, equal_deadlines_keep_their_order) {
  submission_hold hold(limits);
  for (uint64_t i = 1; i <= 3; ++i) hold.add(submission_id(i), in(1'000));
  CHECK_TRUE(ids({1, 2}) == hold.release(now));
}

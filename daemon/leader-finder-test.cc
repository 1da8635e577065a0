// Which control box an entry box turns to.
#include <CppUTest/TestHarness.h>

#include <set>
#include <string>

#include "daemon/leader-finder.h"

using namespace kestrelreel;

TEST_GROUP(leader_finder) {
  leader_finder finder;
  time_point now{10'000};

  void hello(const char* from, const char* leader, bool decides) {
    fleet::box_hello it;
    it.set_leader(leader);
    it.set_decides(decides);
    for (const char* box : {"1", "2", "3"}) it.add_controls(box);
    finder.heard(box_id(from), it, now);
  }
};

TEST(leader_finder, target_by_what_is_known) {
  STRCMP_EQUAL("", finder.target(now).str().c_str());
  hello("1", "", false);
  STRCMP_EQUAL("", finder.target(now).str().c_str());
  hello("1", "2", false);
  STRCMP_EQUAL("1", finder.target(now).str().c_str());
  CHECK_FALSE(finder.target_decides(now));
  hello("2", "2", true);
  STRCMP_EQUAL("2", finder.target(now).str().c_str());
  CHECK_TRUE(finder.target_decides(now));
}

TEST(leader_finder, lost_or_silent_leader_is_left) {
  hello("1", "2", false);
  hello("2", "2", true);
  finder.lost(box_id("2"));
  STRCMP_EQUAL("1", finder.target(now).str().c_str());
  hello("2", "2", true);
  now += milliseconds(3'000);
  hello("1", "3", false);
  STRCMP_EQUAL("1", finder.target(now).str().c_str());
}

TEST(leader_finder, answers_keep_a_target_fresh) {
  hello("2", "2", true);
  now += milliseconds(2'000);
  finder.answered(box_id("2"), now);
  now += milliseconds(2'000);
  STRCMP_EQUAL("2", finder.target(now).str().c_str());
}

TEST(leader_finder, all_are_greeted_while_none_decides) {
  finder.know(box_id("1"));
  LONGS_EQUAL(1, finder.to_greet(now).size());
  LONGS_EQUAL(0, finder.to_greet(now).size());
  hello("1", "2", false);
  LONGS_EQUAL(2, finder.to_greet(now).size());
  now += milliseconds(300);
  LONGS_EQUAL(3, finder.to_greet(now).size());
  hello("2", "2", true);
  now += milliseconds(1'100);
  LONGS_EQUAL(1, finder.to_greet(now).size());
}

// A frozen leader leaves its requests without an answer, and what it said of
// itself stays fresh for 2.6 s: callers wait for 3 s.
TEST(leader_finder, leader_that_gives_no_answer_is_left_at_once) {
  hello("2", "2", true);
  LONGS_EQUAL(1, finder.to_greet(now).size());
  now += milliseconds(600);
  finder.lost(box_id("2"));
  STRCMP_EQUAL("", finder.target(now).str().c_str());
  // All are asked where the leader is, the silent one too.
  LONGS_EQUAL(3, finder.to_greet(now).size());
  hello("1", "1", true);
  STRCMP_EQUAL("1", finder.target(now).str().c_str());
  now += milliseconds(100);
  hello("2", "2", true);
  STRCMP_EQUAL("2", finder.target(now).str().c_str());
}

// Of two that say that they decide the one that said it last is right.
TEST(leader_finder, newest_leader_is_asked) {
  struct row {
    const char* first;
    const char* second;
  };
  const row rows[] = {{"1", "3"}, {"3", "1"}, {"2", "1"}, {"1", "2"}};
  for (const row& it : rows) {
    finder = leader_finder();
    hello(it.first, it.first, true);
    now += milliseconds(100);
    hello(it.second, it.second, true);
    STRCMP_EQUAL(it.second, finder.target(now).str().c_str());
  }
}

TEST(leader_finder, every_control_box_was_greeted_at_once_by_each_entry_box) {
  constexpr int controls = 25;
  constexpr size_t most = 8;
  for (int i = 0; i < controls; ++i) {
    finder.know(box_id("c" + std::to_string(i)));
  }
  std::set<box_id> greeted;
  for (int round = 0; round < 4; ++round) {
    const auto due = finder.to_greet(now);
    CHECK_TRUE(due.size() <= most);
    CHECK_TRUE(finder.to_greet(now).empty());
    greeted.insert(due.begin(), due.end());
    now += milliseconds(260);
  }
  LONGS_EQUAL(controls, greeted.size());
  // One that is named as the leader is greeted before those it is late for.
  hello("c3", "c24", false);
  CHECK_TRUE(finder.to_greet(now).front() == box_id("c24"));
}

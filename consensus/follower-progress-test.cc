// Refusals of messages that were on their way are answers to one question: a
// leader that took each for a new one sent the missing log once for each.
#include "consensus/follower-progress.h"

#include <CppUTest/TestHarness.h>

#include <functional>

using namespace kestrelreel;

namespace {

constexpr uint64_t start_index = 100;
constexpr uint64_t batch_entries = 10;
constexpr size_t batch_bytes = 1'000;

/// Three batches are on their way to a follower that may hold all before them.
follower_progress make_progress() {
  follower_progress it;
  it.start_after(start_index);
  for (int i = 0; i < 3; ++i) it.sent(batch_entries, batch_bytes);
  return it;
}

struct row {
  const char* name;
  std::function<void(follower_progress&)> before;
  // The refusal, and whether it asks for anything.
  uint64_t previous;
  uint64_t hint;
  bool accepted_as_answer;
  uint64_t next;
};

const row rows[] = {
    {"the first", [](auto&) {}, 100, 40, true, 41},
    {"of a message after the one that was refused",
     [](auto& it) { it.rejected(100, 40); }, 110, 40, false, 41},
    {"of a message before the one that is asked about",
     [](auto& it) { it.rejected(100, 40); }, 30, 20, false, 41},
    {"of the one that is asked about", [](auto& it) { it.rejected(100, 40); },
     40, 20, true, 21},
    {"of what it holds by now",
     [](auto& it) {
       it.rejected(100, 40);
       it.accepted(60);
       it.sent(batch_entries, batch_bytes);
     },
     50, 20, false, 71},
    {"of a message from before it was found to match",
     [](auto& it) {
       it.rejected(100, 40);
       it.accepted(60);
     },
     110, 40, false, 61},
    {"after it held more, and lost it",
     [](auto& it) {
       it.rejected(100, 40);
       it.accepted(60);
       it.sent(batch_entries, batch_bytes);
     },
     65, 62, true, 63},
    {"that tells no place", [](auto& it) { it.rejected(100, 40); }, 0, 20, true,
     21},
};

}  // namespace

TEST_GROUP(follower_progress){};

TEST(follower_progress, refusal_counts_where_it_answers_an_open_question) {
  for (const row& it : rows) {
    follower_progress progress = make_progress();
    it.before(progress);
    CHECK_EQUAL_TEXT(it.accepted_as_answer,
                     progress.rejected(it.previous, it.hint), it.name);
    LONGS_EQUAL_TEXT(it.next, progress.next(), it.name);
  }
}

// What follows a refusal would be refused as well.
TEST(follower_progress, nothing_is_on_its_way_after_a_refusal) {
  follower_progress it = make_progress();
  LONGS_EQUAL(3 * batch_bytes, it.bytes_in_flight());
  it.rejected(100, 40);
  CHECK_TRUE(it.probing());
  LONGS_EQUAL(0, it.bytes_in_flight());
  it.accepted(40);
  CHECK_FALSE(it.probing());
}

// A leader must count only the first rejection of a group of messages in
// flight. If each rejection counted, the missing log would be sent once per
// rejection.
#include "consensus/follower-progress.h"

#include <CppUTest/TestHarness.h>

#include <functional>

using namespace kestrelreel;

namespace {

constexpr uint64_t start_index = 100;
constexpr uint64_t batch_entries = 10;
constexpr size_t batch_bytes = 1'000;

/// The progress of a follower that is assumed to hold all entries up to
/// `start_index`, with three batches in flight.
follower_progress make_progress() {
  follower_progress it;
  it.start_after(start_index);
  for (int i = 0; i < 3; ++i) it.sent(batch_entries, batch_bytes);
  return it;
}

struct row {
  const char* name;
  std::function<void(follower_progress&)> prepare;
  // The rejection, and whether the leader must act on it.
  uint64_t previous;
  uint64_t hint;
  bool accepted_as_answer;
  uint64_t next;
};

const row rows[] = {
    {"first rejection", [](auto&) {}, 100, 40, true, 41},
    {"of a message after the rejected one",
     [](auto& it) { it.rejected(100, 40); }, 110, 40, false, 41},
    {"of a message before the current probe",
     [](auto& it) { it.rejected(100, 40); }, 30, 20, false, 41},
    {"of the current probe", [](auto& it) { it.rejected(100, 40); }, 40, 20,
     true, 21},
    {"of an index that matches by now",
     [](auto& it) {
       it.rejected(100, 40);
       it.accepted(60);
       it.sent(batch_entries, batch_bytes);
     },
     50, 20, false, 71},
    {"of a message sent before the match was found",
     [](auto& it) {
       it.rejected(100, 40);
       it.accepted(60);
     },
     110, 40, false, 61},
    {"after the follower lost entries",
     [](auto& it) {
       it.rejected(100, 40);
       it.accepted(60);
       it.sent(batch_entries, batch_bytes);
     },
     65, 62, true, 63},
    {"without an index", [](auto& it) { it.rejected(100, 40); }, 0, 20, true,
     21},
};

}  // namespace

TEST_GROUP(follower_progress){};

TEST(follower_progress, stale_rejections_are_ignored) {
  for (const row& it : rows) {
    follower_progress progress = make_progress();
    it.prepare(progress);
    CHECK_EQUAL_TEXT(it.accepted_as_answer,
                     progress.rejected(it.previous, it.hint), it.name);
    LONGS_EQUAL_TEXT(it.next, progress.next(), it.name);
  }
}

// Messages after a rejected one would be rejected as well.
TEST(follower_progress, nothing_is_in_flight_after_a_rejection) {
  follower_progress it = make_progress();
  LONGS_EQUAL(3 * batch_bytes, it.bytes_in_flight());
  it.rejected(100, 40);
  CHECK_TRUE(it.probing());
  LONGS_EQUAL(0, it.bytes_in_flight());
  it.accepted(40);
  CHECK_FALSE(it.probing());
}

// A living worker that is unheard for longer than its lease is told, unless a
// strike excuses it; and who held a lease without a gap is known.
#include "support/faults/lease-history.h"

#include <CppUTest/TestHarness.h>

#include <functional>

using namespace kestrelreel;
using namespace kestrelreel::faults;

TEST_GROUP(lease_history){};

namespace {

constexpr milliseconds hold{3'000};

void granted(lease_history& it, std::initializer_list<int> calls) {
  for (const int at : calls) it.granted("i-1", time_point(at), hold);
}

void excused(lease_history& it, int from, int until) {
  it.excused(time_point(from), time_point(until));
}

struct row {
  const char* name;
  size_t broken;
  std::function<void(lease_history&)> seen;
};

const row rows[] = {
    {"nothing", 0, [](auto&) {}},
    {"a grant in each lease", 0,
     [](auto& it) {
       granted(it, {1'000, 4'000, 7'000});
     }},
    {"a gap", 1,
     [](auto& it) {
       granted(it, {1'000, 4'001});
     }},
    {"no grant until all is over", 1,
     [](auto& it) {
       granted(it, {1'000});
       it.over(time_point(4'001));
     }},
    {"all is over within the lease", 0,
     [](auto& it) {
       granted(it, {1'000});
       it.over(time_point(4'000));
     }},
    {"another worker's grant in the gap", 1,
     [](auto& it) {
       granted(it, {1'000});
       it.granted("i-2", time_point(2'000), hold);
       granted(it, {4'001});
     }},
    {"a crash in the gap", 0,
     [](auto& it) {
       granted(it, {1'000});
       it.life_over("i-1");
       granted(it, {4'001});
     }},
    {"a strike at its end", 0,
     [](auto& it) {
       excused(it, 3'000, 5'000);
       granted(it, {1'000, 4'001});
     }},
    {"a gap that goes on for a lease after a strike", 0,
     [](auto& it) {
       excused(it, 500, 2'000);
       granted(it, {1'000, 5'000});
     }},
    {"a gap that goes on for longer after a strike", 1,
     [](auto& it) {
       excused(it, 500, 2'000);
       granted(it, {1'000, 5'001});
     }},
    {"a strike before the gap", 1,
     [](auto& it) {
       excused(it, 500, 1'000);
       granted(it, {1'000, 4'001});
     }},
    {"a strike after the gap", 1,
     [](auto& it) {
       excused(it, 4'001, 5'000);
       granted(it, {1'000, 4'001});
     }},
};

struct held_row {
  const char* name;
  bool held;
  int from;
  int until;
};

/// Of a worker with grants at 1,000, 3,000, 6,500 and 9,000 ms.
const held_row held_rows[] = {
    {"within one lease", true, 1'000, 4'000},
    {"over two", true, 1'500, 6'000},
    {"up to the lapse", true, 3'000, 6'000},
    {"over the lapse", false, 3'000, 6'100},
    {"from within the lapse", false, 6'200, 6'600},
    {"over the next two", true, 6'500, 12'000},
    {"longer than the last", false, 6'500, 12'001},
    {"before the first", false, 500, 2'000},
};

}  // namespace

TEST(lease_history, gaps_that_nothing_excuses_are_told) {
  for (const row& it : rows) {
    lease_history seen;
    it.seen(seen);
    LONGS_EQUAL_TEXT(it.broken, seen.broken().size(), it.name);
  }
}

TEST(lease_history, a_lease_is_held_where_no_gap_is_longer) {
  lease_history seen;
  granted(seen, {1'000, 3'000, 6'500, 9'000});
  for (const held_row& it : held_rows) {
    CHECK_EQUAL_TEXT(
        it.held, seen.held("i-1", time_point(it.from), time_point(it.until)),
        it.name);
  }
  CHECK_FALSE(seen.held("i-2", time_point(1'000), time_point(1'001)));
}

TEST(lease_history, a_worker_that_crashed_holds_none) {
  lease_history seen;
  granted(seen, {1'000});
  seen.life_over("i-1");
  CHECK_FALSE(seen.held("i-1", time_point(1'500), time_point(2'000)));
}

// Which connection is shed when the memory for all of them is spent.
#include "net/memory-budget.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>
#include <vector>

using namespace kestrelreel;

namespace {

class set_clock final : public clock_source {
 public:
  time_point now() const override { return at; }
  time_point at{0};
};

/// Notes that it was shed.
class test_holder final : public memory_holder {
 public:
  explicit test_holder(memory_budget& memory) : share(memory, *this, "test") {}
  void shed() override { was_shed = true; }
  bool was_shed = false;
  memory_budget::share share;
};

constexpr size_t kib = 1 << 10;
/// Counted bytes.
constexpr size_t limit = 100 * kib;
constexpr size_t uncounted = memory_budget::uncounted_bytes;

struct held {
  size_t counted;
  int progress_at_ms;
  bool pinned = false;
};

struct budget_row {
  const char* name;
  std::vector<held> holders;
  size_t asked;
  bool granted;
  /// The index of the holder that gave way; -1 for none.
  int was_shed;
};

const budget_row rows[] = {
    {"room is left", {{60 * kib, 990}}, 40 * kib, true, -1},
    {"the larger one is shed",
     {{30 * kib, 990}, {60 * kib, 990}},
     20 * kib,
     true,
     1},
    {"a smaller one does not",
     {{50 * kib, 990}, {50 * kib, 990}},
     60 * kib,
     false,
     -1},
    {"of equal ones the one with the earliest progress",
     {{50 * kib, 990}, {50 * kib, 980}},
     50 * kib,
     true,
     1},
    {"a stalled one, though it is smaller",
     {{60 * kib, 990}, {40 * kib, 100}},
     40 * kib,
     true,
     1},
    {"a stalled one, though the asker is larger",
     {{40 * kib, 100}},
     90 * kib,
     true,
     0},
    {"a request that may run does not",
     {{100 * kib, 100, true}},
     kib,
     false,
     -1},
    {"one that is alone has room", {}, 200 * kib, true, -1},
};

}  // namespace

TEST_GROUP(memory_budget_rows) {
  set_clock clock;
  metrics_registry metrics;
  memory_budget memory{clock, metrics, "test", {limit}};
};

TEST(memory_budget_rows, who_is_shed) {
  for (const budget_row& row : rows) {
    std::vector<std::unique_ptr<test_holder>> holders;
    for (const held& it : row.holders) {
      holders.push_back(std::make_unique<test_holder>(memory));
      clock.at = milliseconds(it.progress_at_ms);
      CHECK_TRUE_TEXT(holders.back()->share.resize(uncounted + it.counted),
                      row.name);
      if (it.pinned) holders.back()->share.pin();
    }
    clock.at = milliseconds(1'000);
    test_holder asker(memory);
    CHECK_EQUAL_TEXT(row.granted, asker.share.resize(uncounted + row.asked),
                     row.name);
    for (size_t i = 0; i < holders.size(); ++i) {
      CHECK_EQUAL_TEXT(static_cast<int>(i) == row.was_shed,
                       holders[i]->was_shed, row.name);
    }
    CHECK_FALSE_TEXT(asker.was_shed, row.name);
  }
  LONGS_EQUAL(0, memory.held());
}

TEST(memory_budget_rows, little_is_not_counted) {
  test_holder large(memory);
  CHECK_TRUE(large.share.resize(uncounted + limit));
  large.share.pin();
  test_holder small(memory);
  CHECK_TRUE(small.share.resize(uncounted));
  LONGS_EQUAL(limit, memory.held());
}

TEST(memory_budget_rows, acts_are_counted) {
  test_holder first(memory);
  CHECK_TRUE(first.share.resize(uncounted + limit));
  test_holder second(memory);
  CHECK_TRUE(second.share.resize(uncounted + limit / 2));
  first.share.pin();
  second.share.pin();
  test_holder third(memory);
  CHECK_FALSE(third.share.resize(uncounted + limit));
  const metric_labels labels{{"budget", "test"}, {"listener", "test"}};
  LONGS_EQUAL(1, metrics.counter("kestrelreel_memory_shed_total", labels));
  LONGS_EQUAL(1, metrics.counter("kestrelreel_memory_refused_total", labels));
}

// What is true of a call that ends without an answer.
#include "net/call-table.h"

#include <CppUTest/TestHarness.h>

#include <vector>

using namespace kestrelreel;

TEST_GROUP(call_table) {
  call_table calls;
  static constexpr time_point later{1'000};

  /// Calls 1 to 3: unsent, carried by connection 1, carried by connection 2.
  void setup() override {
    for (uint64_t i = 1; i <= 3; ++i) {
      calls.add(call_number(i), later + milliseconds(i), [](const auto&) {});
    }
    calls.carried(call_number(2), connection_number(1));
    calls.carried(call_number(3), connection_number(2));
  }
  static size_t may_have_run(const std::vector<lost_call>& of) {
    size_t n = 0;
    for (const lost_call& it : of) n += it.may_have_run ? 1 : 0;
    return n;
  }
};

TEST(call_table, what_is_taken_and_what_may_have_run) {
  struct row {
    const char* name;
    std::vector<lost_call> taken;
    size_t n;
    size_t may_have_run;
  };
  const auto none = calls.take_expired(later);
  const auto unsent = calls.take_expired(later + milliseconds(1));
  const auto first = calls.take_carried(connection_number(1));
  const auto unknown = calls.take_carried(connection_number(9));
  const row rows[] = {{"none due", none, 0, 0},
                      {"due and unsent", unsent, 1, 0},
                      {"of a connection", first, 1, 1},
                      {"of another one", unknown, 0, 0},
                      {"the rest", calls.take_all(), 1, 1}};
  for (const row& it : rows) {
    LONGS_EQUAL_TEXT(it.n, it.taken.size(), it.name);
    LONGS_EQUAL_TEXT(it.may_have_run, may_have_run(it.taken), it.name);
  }
  CHECK_TRUE(calls.empty());
}

TEST(call_table, is_unsent_until_a_connection_carries_it_or_it_is_over) {
  CHECK_TRUE(calls.is_unsent(call_number(1)));
  CHECK_FALSE(calls.is_unsent(call_number(2)));
  CHECK_TRUE(calls.take(call_number(1)) != nullptr);
  CHECK_FALSE(calls.is_unsent(call_number(1)));
  CHECK_TRUE(calls.take(call_number(1)) == nullptr);
  LONGS_EQUAL(2, calls.size());
}

TEST(call_table, failed_call_says_what_is_true) {
  struct row {
    bool may_have_run;
    fleet::fleet_status status;
  };
  for (const row& it : {row{true, fleet::fleet_unknown},
                        row{false, fleet::fleet_unavailable}}) {
    fleet::fleet_response last;
    const lost_call call{
        [&](const fleet::fleet_response& response) { last = response; },
        it.may_have_run};
    call.fail("why");
    LONGS_EQUAL(it.status, last.status());
    STRCMP_EQUAL("why", last.reason().c_str());
  }
}

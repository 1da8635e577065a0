#include "daemon/platform-list.h"

#include <CppUTest/TestHarness.h>

using namespace kestrelreel;

TEST_GROUP(platform_list){};

TEST(platform_list, workers_are_read) {
  const auto list = parse_workers(
      R"({"workers": [{"id": "w", "address": "127.0.0.1:1", "rack": "r",
          "cpu": 32, "memory": "125GiB", "accelerators": 2,
          "state": "leaving"}]})");
  CHECK_TRUE(list.ok());
  CHECK_EQUAL(1, list->size());
  CHECK_EQUAL(32'000, list->front().capacity.cpu.value);
  CHECK_EQUAL(2, list->front().capacity.accelerators.value);
  CHECK_TRUE(list->front().leaving);
}

TEST(platform_list, a_list_with_a_fault_is_refused_whole) {
  const char* const texts[] = {
      "",
      "{}",
      R"({"workers": 1})",
      R"({"workers": [{"id": "w"}]})",
      R"({"workers": [{"id": "w", "address": "x", "rack": "r", "cpu": 1,
          "memory": "1GiB", "state": "live"}]})",
      R"({"workers": [{"id": "w", "address": "127.0.0.1:1", "rack": "r",
          "cpu": 1, "memory": "1GiB", "state": "gone"}]})",
  };
  for (const char* text : texts) CHECK_FALSE(parse_workers(text).ok());
}

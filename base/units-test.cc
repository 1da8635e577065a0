#include "base/units.h"

#include <CppUTest/TestHarness.h>

using namespace kestrelreel;

TEST_GROUP(units){};

TEST(units, sizes_are_read_and_shown) {
  struct {
    const char* text;
    int64_t bytes;  // -1: refused
  } const rows[] = {
      {"512MiB", 512ll << 20},
      {"12GiB", 12ll << 30},
      {"1TiB", 1ll << 40},
      {"7B", 7},
      {"0B", 0},
      {"", -1},
      {"12", -1},
      {"GiB", -1},
      {"-1GiB", -1},
      {"1.5GiB", -1},
      {"12gib", -1},
      {"12GiB ", -1},
      {"99999999999TiB", -1},
      {"18446744073709551616B", -1},
  };
  for (const auto& row : rows) {
    const auto n = parse_bytes(row.text);
    CHECK_EQUAL_TEXT(row.bytes >= 0, n.has_value(), row.text);
    if (!n) continue;
    CHECK_EQUAL_TEXT(row.bytes, static_cast<int64_t>(n->value), row.text);
    STRCMP_EQUAL(row.text, format_bytes(*n).c_str());
  }
}

TEST(units, lengths_of_time_are_read_and_shown) {
  struct {
    const char* text;
    int64_t ms;  // -1: refused
  } const rows[] = {
      {"250ms", 250},
      {"3s", 3'000},
      {"20m", 1'200'000},
      {"2h", 7'200'000},
      {"0ms", 0},
      {"1500ms", 1500},
      {"", -1},
      {"3", -1},
      {"3 s", -1},
      {"-3s", -1},
      {"1.5s", -1},
      {"3d", -1},
      {"9999999999999999h", -1},
  };
  for (const auto& row : rows) {
    const auto n = parse_duration(row.text);
    CHECK_EQUAL_TEXT(row.ms >= 0, n.has_value(), row.text);
    if (!n) continue;
    CHECK_EQUAL_TEXT(row.ms, n->count(), row.text);
    STRCMP_EQUAL(row.text, format_duration(*n).c_str());
  }
}

TEST(units, a_task_fits_only_if_each_resource_does) {
  const resource_amount room{cpu_milli{4'000}, byte_count{100},
                             accelerator_count{1}};
  struct {
    resource_amount size;
    bool fits;
  } const rows[] = {
      {{cpu_milli{4'000}, byte_count{100}, accelerator_count{1}}, true},
      {{cpu_milli{4'001}, byte_count{1}, accelerator_count{0}}, false},
      {{cpu_milli{1}, byte_count{101}, accelerator_count{0}}, false},
      {{cpu_milli{1}, byte_count{1}, accelerator_count{2}}, false},
      {{}, true},
  };
  for (const auto& row : rows) CHECK_EQUAL(row.fits, row.size.fits(room));
}

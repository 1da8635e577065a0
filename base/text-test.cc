#include "base/text.h"

#include <CppUTest/TestHarness.h>

using namespace kestrelreel;

TEST_GROUP(text){};

TEST(text, values_are_quoted_where_needed) {
  struct {
    const char* value;
    const char* shown;
  } const rows[] = {
      {"plain", "plain"},
      {"", "\"\""},
      {"two words", "\"two words\""},
      {"a=b", "\"a=b\""},
      {"say \"x\"", "\"say \\\"x\\\"\""},
      {"a\\b", "\"a\\\\b\""},
      {"line\nbreak", "\"line\\x0abreak\""},
      {"\x7f", "\"\\x7f\""},
      {"127.0.0.1:80", "127.0.0.1:80"},
  };
  for (const auto& row : rows) {
    STRCMP_EQUAL(row.shown, quote_value(row.value).c_str());
  }
}

TEST(text, nearest_name_is_found_or_nothing) {
  const std::vector<std::string> known{"services", "jobs", "teams"};
  struct {
    const char* word;
    const char* nearest;
  } const rows[] = {
      {"servces", "services"}, {"job", "jobs"}, {"temas", "teams"},
      {"replicas", ""},        {"", ""},        {"teams", "teams"}};
  for (const auto& row : rows) {
    STRCMP_EQUAL(row.nearest, nearest_name(row.word, known).c_str());
  }
}

TEST(text, addresses_are_split) {
  struct {
    const char* text;
    bool good;
    uint16_t port;
  } const rows[] = {{"127.0.0.1:80", true, 80}, {"::1:80", true, 80},
                    {"127.0.0.1", false, 0},    {":80", false, 0},
                    {"h:", false, 0},           {"h:99999", false, 0},
                    {"h:8x", false, 0}};
  for (const auto& row : rows) {
    std::string host;
    uint16_t port = 0;
    CHECK_EQUAL_TEXT(row.good, split_address(row.text, host, port), row.text);
    if (row.good) CHECK_EQUAL(row.port, port);
  }
}

TEST(text, json_size_covers_escapes) {
  struct {
    const char* text;
    size_t size;
  } const rows[] = {{"", 0},     {"plain", 5}, {"\"", 2},
                    {"\\", 2},   {"a/b", 4},   {"\n", 6},
                    {"\x01", 6}, {"\x7f", 6},  {"\xc3\xa9", 2}};
  for (const auto& row : rows) {
    CHECK_EQUAL_TEXT(row.size, json_size(row.text), row.text);
  }
}

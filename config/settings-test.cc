#include "config/settings.h"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace kestrelreel;

namespace {

/// A sound file with one text in the place of another.
std::string with(const std::string& from, const std::string& to) {
  std::string text = R"({"box": "a-1", "boxes": [
    {"id": "a-1", "data_centre": "a", "peer": "127.0.1.1:7400",
     "replica": true},
    {"id": "a-2", "data_centre": "a", "peer": "127.0.1.2:7400"}],
  "listen": {"callers": "127.0.1.1:8080", "operators": "127.0.1.1:7401",
    "admin": "127.0.1.1:7402"},
  "data_folder": "data", "platform": "127.0.1.100:7600"})";
  const size_t at = text.find(from);
  if (at != std::string::npos) text.replace(at, from.size(), to);
  return text;
}

struct fault_row {
  const char* from;
  const char* to;
  /// A part of the first fault.
  const char* fault;
};

}  // namespace

TEST_GROUP(settings){};

TEST(settings, a_sound_file_is_read) {
  const auto parsed = parse_settings("f", with("", ""));
  CHECK_TRUE(std::holds_alternative<process_settings>(parsed));
  const auto& it = std::get<process_settings>(parsed);
  STRCMP_EQUAL("a", it.self().data_centre.str().c_str());
  CHECK_TRUE(it.self().replica);
  CHECK_EQUAL(2, it.boxes.size());
}

TEST(settings, each_fault_is_told) {
  const fault_row rows[] = {
      {"\"a-1\",", "\"a-3\",", "/box: found the unknown box \"a-3\""},
      {"\"id\": \"a-2\"", "\"id\": \"a-1\"", "/boxes/1/id: found the box"},
      {"127.0.1.1:7400", "localhost:7400", "/boxes/0/peer: found"},
      {"127.0.1.1:7400", "127.0.1.1", "/boxes/0/peer: found"},
      {"127.0.1.1:7400", "127.0.1.1:0", "/boxes/0/peer: found"},
      {"127.0.1.1:7400", "127.0.1.1:65536", "/boxes/0/peer: found"},
      {"\"callers\"", "\"caller\"", "/listen/callers: found nothing"},
      {"\"data_folder\": \"data\",", "", "/data_folder: found nothing"},
      {"\"replica\": true", "\"replica\": false", "/data_folder: found data"},
      {"\"platform\"", "\"plattform\"", "/platform: found nothing"},
      {"\"platform\"", "\"limits\": {\"body\": \"1TiB\"}, \"platform\"",
       "/limits/body: found 1TiB"},
      {"\"platform\"", "\"limits\": {\"retry_percent\": 101}, \"platform\"",
       "/limits/retry_percent: found 101"},
      {"\"platform\"", "\"leases\": {\"holder\": \"1ms\"}, \"platform\"",
       "/leases/holder: found \"1ms\""},
      {"\"platform\"", "\"log_level\": \"loud\", \"platform\"",
       "/log_level: found \"loud\", allowed: one of debug"},
      {"\"platform\"", "\"memory\": \"1MiB\", \"platform\"",
       "/memory: found 1MiB, allowed: at least \"64MiB\""},
      {"\"platform\"", "\"placement_policy\": \"x\", \"platform\"",
       "/placement_policy: found \"x\""},
  };
  for (const fault_row& row : rows) {
    const auto parsed = parse_settings("f", with(row.from, row.to));
    const auto* found = std::get_if<std::vector<config_fault>>(&parsed);
    CHECK_TEXT(found != nullptr, row.to);
    STRCMP_CONTAINS(row.fault, found->front().str().c_str());
  }
}

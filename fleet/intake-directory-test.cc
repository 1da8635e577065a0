// Selection of the box that workers call.
#include "fleet/intake-directory.h"

#include <CppUTest/TestHarness.h>

using namespace kestrelreel;

namespace {

fleet::box_hello hello(const char* data_centre, const char* address,
                       std::optional<uint64_t> rtt_ms) {
  fleet::box_hello out;
  out.set_data_centre(data_centre);
  out.set_beat_address(address);
  if (rtt_ms) out.set_way_ms(*rtt_ms);
  return out;
}

}  // namespace

TEST_GROUP(intake_directory_rtt){};

// Workers were sent back to the box of their data centre while that box could
// not forward their calls.
TEST(intake_directory_rtt, workers_sent_to_box_with_slow_rtt) {
  const struct {
    const char* name;
    std::optional<uint64_t> near;
    std::optional<uint64_t> far;
    const char* expected;
  } rows[] = {
      {"no round-trip times", {}, {}, "near:1"},
      {"both are fast", 20, 20, "near:1"},
      {"the near one is slow", 900, 20, "far:1"},
      {"both are slow", 900, 700, "near:1"},
      {"the far one is unknown", 900, {}, "near:1"},
  };
  for (const auto& it : rows) {
    intake_directory directory(box_id("self"), data_centre_id("c"), "self:1");
    directory.set_own_rtt(milliseconds(900));
    const time_point now{1'000};
    directory.heard(box_id("b1"), hello("a", "near:1", it.near), now);
    directory.heard(box_id("b2"), hello("b", "far:1", it.far), now);
    const std::string found = directory.address_for("a", "w", now);
    // Without the near box all boxes that are not slow are candidates.
    const bool same = found == it.expected;
    CHECK_TRUE_TEXT(same, it.name);
  }
}

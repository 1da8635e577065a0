#include "record/box-table.h"

#include <CppUTest/TestHarness.h>

using namespace kestrelreel;

namespace {

struct virtual_clock final : clock_source {
  time_point now() const override { return at; }
  time_point at{10'000};
};

const std::vector<box_entry> entries{
    {box_id("a1"), data_centre_id("a"), "", true},
    {box_id("a2"), data_centre_id("a"), "", false},
    {box_id("b1"), data_centre_id("b"), "", true}};

}  // namespace

TEST_GROUP(box_table){};

TEST(box_table, local_boxes_time_out_sooner) {
  struct {
    const char* box;
    int64_t silent_ms;
    bool live;
  } const rows[] = {{"a2", 0, true},      {"a2", 1'999, true},
                    {"a2", 2'000, false}, {"b1", 5'999, true},
                    {"b1", 6'000, false}, {"a1", 99'999, true},
                    {"x9", 0, false}};
  for (const auto& row : rows) {
    virtual_clock clock;
    box_table table(box_id("a1"), entries, clock);
    table.record_heartbeat(box_id(row.box), 1, {});
    clock.at += milliseconds(row.silent_ms);
    CHECK_EQUAL_TEXT(row.live, table.live(box_id(row.box)), row.box);
  }
}

TEST(box_table, a_box_never_heard_of_is_not_live) {
  virtual_clock clock;
  const box_table table(box_id("a1"), entries, clock);
  CHECK_FALSE(table.live(box_id("a2")));
}

TEST(box_table, an_older_incarnation_is_ignored) {
  virtual_clock clock;
  box_table table(box_id("a1"), entries, clock);
  proto::box_digest digest;
  digest.set_version_in_force(7);
  table.record_heartbeat(box_id("a2"), 5, digest);
  digest.set_version_in_force(3);
  table.record_heartbeat(box_id("a2"), 4, digest);
  CHECK_EQUAL(7, table.view(box_id("a2")).digest.version_in_force());
}

TEST(box_table, a_stopping_box_does_not_serve) {
  virtual_clock clock;
  box_table table(box_id("a1"), entries, clock);
  table.record_heartbeat(box_id("a2"), 1, {});
  CHECK_EQUAL(2, table.serving_in(data_centre_id("a")).size());
  proto::box_digest digest;
  digest.set_stopping(true);
  table.record_heartbeat(box_id("a2"), 1, digest);
  CHECK_EQUAL(1, table.serving_in(data_centre_id("a")).size());
}

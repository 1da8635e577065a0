// Which sources a box without a replica tries when a source doesn't answer.
#include <CppUTest/TestHarness.h>

#include <set>
#include <string>
#include <vector>

#include "base/text.h"
#include "record/feed.h"

using namespace kestrelreel;

namespace {

struct virtual_clock final : clock_source {
  time_point now() const override { return at; }
  time_point at{1'000};
};

struct scenario {
  const char* name;
  int local_replicas;
  int remote_replicas;
  int local_boxes;
};

std::vector<box_entry> entries_of(const scenario& it) {
  std::vector<box_entry> all{{box_id("self"), data_centre_id("d"), "", false}};
  const auto add = [&](const char* kind, int n, const char* data_centre,
                       bool replica) {
    for (int i = 0; i < n; ++i) {
      all.push_back(
          {box_id(str_cat(kind, i)), data_centre_id(data_centre), "", replica});
    }
  };
  add("local", it.local_replicas, "d", true);
  add("remote", it.remote_replicas, "e", true);
  add("box", it.local_boxes, "d", false);
  return all;
}

/// The sources that are tried within `length` while all boxes are live and none
/// answers.
std::vector<box_id> sources_tried_within(const scenario& it,
                                         milliseconds length) {
  virtual_clock clock;
  const std::vector<box_entry> entries = entries_of(it);
  box_table table(box_id("self"), entries, clock);
  std::vector<box_id> tried;
  feed_sink sink(table, clock, [&](const box_id& to, const auto&) {
    if (tried.empty() || tried.back() != to) tried.push_back(to);
  });
  for (milliseconds t{0}; t < length; t += milliseconds(100)) {
    clock.at += milliseconds(100);
    for (const box_entry& from : entries) {
      table.record_heartbeat(from.id, 1, proto::box_digest());
    }
    sink.tick(0);
  }
  return tried;
}

}  // namespace

TEST_GROUP(feed_choice){};

// Guards against trying two silent sources alternately and a third one never.
TEST(feed_choice, each_source_is_tried_once_per_round) {
  const scenario rows[] = {
      {"one", 1, 0, 0},
      {"two local", 2, 0, 0},
      {"three local", 3, 0, 0},
      {"three remote", 0, 3, 0},
      {"one local, two remote", 1, 2, 0},
      {"one of each", 1, 1, 1},
      {"no replicas", 0, 0, 4},
      {"a round longer than the stable service time", 3, 9, 3},
  };
  for (const scenario& it : rows) {
    const size_t n = it.local_replicas + it.remote_replicas + it.local_boxes;
    // A source is given up at the first request that is due after 1.5 s.
    const auto tried = sources_tried_within(it, milliseconds(2'100 * n));
    const std::set<box_id> distinct(tried.begin(), tried.end());
    CHECK_TEXT(
        distinct.size() == n,
        str_cat(it.name, ": tried ", distinct.size(), " of ", n).c_str());
    // No source is tried twice in one round.
    const std::set<box_id> round(tried.begin(), tried.begin() + n);
    CHECK_TEXT(round.size() == n, it.name);
  }
}

TEST(feed_choice, local_replicas_are_tried_first) {
  const auto tried = sources_tried_within({"", 1, 1, 1}, milliseconds(6'300));
  CHECK_TRUE(tried.size() >= 3);
  STRCMP_EQUAL("local0", tried[0].str().c_str());
  STRCMP_EQUAL("remote0", tried[1].str().c_str());
  STRCMP_EQUAL("box0", tried[2].str().c_str());
}

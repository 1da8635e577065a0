// Boxes without a replica receive all committed entries despite lost messages,
// and their state never goes back.
#include "record/feed.h"

#include <CppUTest/TestHarness.h>

#include <deque>

#include "base/text.h"

using namespace kestrelreel;

namespace {

struct virtual_clock final : clock_source {
  time_point now() const override { return at; }
  time_point at{1'000};
};

struct message_in_flight {
  box_id from;
  box_id to;
  proto::peer_message m;
};

/// Box `r` has the replica; `e` and `f` subscribe, and may also feed each
/// other.
struct feed_cluster {
  std::vector<box_entry> entries{{box_id("r"), data_centre_id("d"), "", true},
                                 {box_id("e"), data_centre_id("d"), "", false},
                                 {box_id("f"), data_centre_id("d"), "", false}};
  virtual_clock clock;
  std::deque<message_in_flight> in_flight;
  struct box {
    box(feed_cluster& cluster, const std::string& name)
        : id(name), table(id, cluster.entries, cluster.clock) {
      const auto send = [&cluster, name](const box_id& to,
                                         proto::peer_message m) {
        cluster.in_flight.push_back({box_id(name), to, std::move(m)});
      };
      source = std::make_unique<feed_source>(state, cluster.clock, send);
      sink = std::make_unique<feed_sink>(table, cluster.clock, send);
    }
    void apply(const proto::log_entry& entry) {
      state.apply(entry);
      source->on_applied(entry);
    }
    box_id id;
    box_table table;
    record_state state;
    std::unique_ptr<feed_source> source;
    std::unique_ptr<feed_sink> sink;
  };
  box r{*this, "r"};
  box e{*this, "e"};
  box f{*this, "f"};
  seeded_random random{3};
  uint64_t version = 0;
  bool replica_up = true;

  void commit() {
    proto::command command;
    proto::state_change& it = *command.mutable_change();
    it.set_request_id(str_cat("c", version));
    it.set_replaces(version);
    it.set_version(++version);
    it.set_digest(version);
    proto::log_entry entry;
    entry.set_index(r.state.applied() + 1);
    entry.set_kind(proto::entry_command);
    entry.set_payload(command.SerializeAsString());
    r.apply(entry);
  }

  void heartbeat(box& from) {
    proto::box_digest digest;
    digest.set_applied(from.state.applied());
    for (box* to : {&r, &e, &f}) to->table.record_heartbeat(from.id, 1, digest);
  }

  void step(unsigned loss_percent) {
    clock.at += milliseconds(100);
    if (replica_up) heartbeat(r);
    heartbeat(e);
    heartbeat(f);
    for (box* it : {&e, &f}) it->sink->tick(it->state.applied());
    for (box* it : {&r, &e, &f}) it->source->flush();
    for (size_t n = in_flight.size(); n > 0; --n) {
      const message_in_flight it = in_flight.front();
      in_flight.pop_front();
      if (random.below(100) < loss_percent) continue;
      deliver(it);
    }
  }

  void deliver(const message_in_flight& it) {
    box& to = it.to == r.id ? r : it.to == e.id ? e : f;
    if (&to == &r && !replica_up) return;
    if (it.m.has_feed()) to.source->on_request(it.from, it.m.feed(), "r");
    if (!it.m.has_fed()) return;
    if (const auto* whole = to.sink->take_snapshot(it.from, it.m.fed())) {
      to.state.install(*whole);
      to.source->on_installed();
    }
    for (const auto& entry : it.m.fed().entries()) to.apply(entry);
    to.sink->on_reply(it.from, it.m.fed(), to.state.applied());
  }
};

}  // namespace

TEST_GROUP(feed){};

TEST(feed, entries_arrive_despite_lost_messages) {
  for (const unsigned loss : {0u, 10u, 50u}) {
    feed_cluster cluster;
    uint64_t last = 0;
    for (int i = 0; i < 300; ++i) {
      if (i % 3 == 0 && i < 200) cluster.commit();
      cluster.step(loss);
      CHECK_TRUE(cluster.e.state.applied() >= last);
      last = cluster.e.state.applied();
    }
    CHECK_EQUAL(cluster.r.state.applied(), cluster.e.state.applied());
    CHECK_EQUAL(cluster.r.state.applied(), cluster.f.state.applied());
  }
}

TEST(feed, an_entry_is_passed_on_within_one_step) {
  feed_cluster cluster;
  for (int i = 0; i < 20; ++i) cluster.step(0);
  cluster.commit();
  cluster.step(0);
  CHECK_EQUAL(1, cluster.e.state.version());
}

TEST(feed, without_a_replica_boxes_feed_each_other) {
  feed_cluster cluster;
  for (int i = 0; i < 5; ++i) cluster.commit();
  for (int i = 0; i < 30; ++i) cluster.step(0);
  cluster.replica_up = false;
  cluster.e.state = record_state();
  for (int i = 0; i < 100; ++i) cluster.step(0);
  CHECK_EQUAL(5, cluster.e.state.version());
}

TEST(feed, a_box_far_behind_gets_a_snapshot) {
  feed_cluster cluster;
  for (int i = 0; i < 10; ++i) cluster.commit();
  cluster.r.source->on_installed();
  for (int i = 0; i < 20; ++i) cluster.step(0);
  CHECK_EQUAL(10, cluster.e.state.version());
}

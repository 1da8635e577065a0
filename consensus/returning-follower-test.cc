// What a leader sends to followers that return after a network partition.
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/text.h"
#include "consensus/raft.h"

using namespace kestrelreel;

namespace {

constexpr int boxes = 5;
/// A link of 200 Mbit/s.
constexpr double link_bytes_per_ms = 25'000;
/// Bound on the wait of a message on the shared link. Heartbeat replies use the
/// same connection, and are late after 450 ms.
constexpr int max_wait_ms = 200;
constexpr int tick_ms = 100;
/// Time to connect; messages sent meanwhile are queued.
constexpr int connect_ms = 700;

struct scenario {
  const char* name;
  int partition_ms;
  // Number of isolated boxes, of five.
  int isolated_boxes;
  size_t entry_bytes;
  // When the leader compacts its log during the partition, and the size of the
  // snapshot; 0: never.
  int compacted_ms = 0;
  size_t state_bytes = 0;
  int latency_ms = 1;
  int sync_ms = 0;
  // Number of compactions, at equal intervals up to `compacted_ms`.
  int compactions = 1;
  // Rate of a separate link to the isolated boxes; 0: they share the common
  // link.
  double slow_bytes_per_ms = 0;
};

struct message_in_flight {
  int due;
  int sent;
  proto::raft_message message;
};

/// Five replicas on a millisecond clock. All messages from b0 share one link.
class cluster {
 public:
  explicit cluster(const scenario& it) : scenario_(it) {
    raft_state state;
    for (int i = 0; i < boxes; ++i) {
      proto::replica& voter = *state.founding.add_voters();
      voter.set_box(str_cat("b", i));
      voter.set_identity("founder");
    }
    for (int i = 0; i < boxes; ++i) {
      raft_settings settings;
      settings.self = box_id(str_cat("b", i));
      settings.identity = "founder";
      settings.election_ticks = 8;
      replicas_[i] =
          std::make_unique<raft>(std::move(settings), random_, state);
    }
  }

  void elect_leader() {
    proto::raft_message m;
    m.set_kind(proto::raft_timeout_now);
    m.set_from("b1");
    m.set_from_identity("founder");
    m.set_to("b0");
    replicas_[0]->step(m);
    advance(1'000);
    CHECK_TRUE(replicas_[0]->role() == raft_role::leader);
  }

  void isolate() { first_isolated_box_ = boxes - scenario_.isolated_boxes; }
  void heal() {
    first_isolated_box_ = boxes;
    measuring_ = true;
    for (const auto& [to, all] : queued_) {
      for (const proto::raft_message& it : all) send_on_link(it);
    }
  }

  void advance(int ms) {
    for (int i = 0; i < ms; ++i) step();
  }

  /// Compacts the leader's applied log into a snapshot.
  void compact() {
    const auto snapshot =
        replicas_[0]->make_snapshot(std::string(scenario_.state_bytes, 's'));
    replicas_[0]->compact(snapshot);
  }

  /// Crashes these boxes, so that the leader needs an isolated box for a
  /// majority.
  void crash(int first, int last) {
    for (int i = first; i <= last; ++i) crashed_[i] = true;
  }

  bool caught_up() const {
    for (int i = 0; i < boxes; ++i) {
      // Allows for the entries proposed while an entry and its commit are in
      // flight.
      constexpr int entry_ms = 15;
      const auto allowed_lag =
          static_cast<uint64_t>(5 + 4 * scenario_.latency_ms / entry_ms);
      const uint64_t last = replicas_[0]->log().last_index();
      if (!crashed_[i] && replicas_[i]->commit_index() + allowed_lag < last)
        return false;
    }
    return true;
  }
  int longest_round_ms() const { return longest_round_ms_; }
  size_t uncommitted() const {
    const raft& leader = *replicas_[0];
    return leader.log().last_index() - leader.commit_index();
  }
  size_t bytes_sent() const { return bytes_sent_; }
  int longest_wait_ms() const { return longest_wait_ms_; }

 private:
  void step() {
    ++now_;
    constexpr int propose_ms = 15;
    if (now_ % propose_ms == 0 && replicas_[0]->role() == raft_role::leader) {
      const auto index =
          replicas_[0]->propose(std::string(scenario_.entry_bytes, 'e'));
      CHECK_TRUE(index.ok());
    }
    for (int i = 0; i < boxes; ++i) {
      if (now_ % tick_ms == i && !crashed_[i]) replicas_[i]->tick();
      run_replica(i);
    }
    deliver();
    record_round();
  }

  void record_round() {
    const uint64_t round = replicas_[0]->quorum_round();
    if (round != last_round_) round_at_ = now_;
    last_round_ = round;
    if (measuring_) {
      longest_round_ms_ = std::max(longest_round_ms_, now_ - round_at_);
    }
  }

  void run_replica(int i) {
    if (crashed_[i]) return;
    if (sync_due_[i] == now_) replicas_[i]->persisted();
    raft_actions actions = replicas_[i]->take_actions();
    if (actions.persist && scenario_.sync_ms == 0) replicas_[i]->persisted();
    if (actions.persist) sync_due_[i] = now_ + scenario_.sync_ms;
    for (const proto::raft_message& it : actions.messages) send(i, it);
  }

  void send(int from, const proto::raft_message& it) {
    const int to = it.to().back() - '0';
    if (from >= first_isolated_box_) return;
    if (to >= first_isolated_box_) {
      if (now_ - connecting_since_ >= connect_ms) {
        queued_.clear();
        connecting_since_ = now_;
      }
      constexpr size_t max_queued = 256;
      auto& all = queued_[to];
      if (all.size() < max_queued) all.push_back(it);
      return;
    }
    if (from == 0) return send_on_link(it);
    in_flight_.push_back({now_ + scenario_.latency_ms, now_, it});
  }

  void send_on_link(const proto::raft_message& it) {
    const bool to_isolated =
        it.to().back() - '0' >= boxes - scenario_.isolated_boxes;
    const bool slow = to_isolated && scenario_.slow_bytes_per_ms > 0;
    const double rate = slow ? scenario_.slow_bytes_per_ms : link_bytes_per_ms;
    double& free_at = slow ? slow_link_free_at_ : link_free_at_;
    free_at = std::max(free_at, static_cast<double>(now_)) +
              static_cast<double>(it.ByteSizeLong()) / rate;
    const int due = static_cast<int>(free_at) + scenario_.latency_ms;
    in_flight_.push_back({due, now_, it});
    if (!measuring_) return;
    longest_wait_ms_ = std::max(longest_wait_ms_, due - now_);
    if (to_isolated) bytes_sent_ += it.ByteSizeLong();
  }

  void deliver() {
    std::vector<proto::raft_message> due;
    std::erase_if(in_flight_, [&](const message_in_flight& it) {
      if (it.due > now_) return false;
      due.push_back(it.message);
      return true;
    });
    for (const proto::raft_message& it : due) {
      const int to = it.to().back() - '0';
      if (!crashed_[to]) replicas_[to]->step(it);
    }
  }

  scenario scenario_;
  seeded_random random_{1};
  std::array<std::unique_ptr<raft>, boxes> replicas_;
  std::deque<message_in_flight> in_flight_;
  // Messages to isolated boxes, queued while the connection is being made.
  std::map<int, std::vector<proto::raft_message>> queued_;
  int connecting_since_ = 0;
  int first_isolated_box_ = boxes;
  int now_ = 0;
  double link_free_at_ = 0;
  double slow_link_free_at_ = 0;
  bool measuring_ = false;
  size_t bytes_sent_ = 0;
  int longest_wait_ms_ = 0;
  std::array<bool, boxes> crashed_{};
  std::array<int, boxes> sync_due_{-1, -1, -1, -1, -1};
  uint64_t last_round_ = 0;
  int round_at_ = 0;
  int longest_round_ms_ = 0;
};

void check_at_most(size_t limit, size_t found, const char* name,
                   const char* quantity) {
  CHECK_TEXT(found <= limit,
             str_cat(name, ", ", quantity, ": ", found, " of ", limit).c_str());
}

}  // namespace

TEST_GROUP(returning_follower){};

// Guards against sending a returning follower its missing log once per queued
// message, which delays other messages on the same connection by seconds.
TEST(returning_follower, gets_the_missed_entries_about_once) {
  constexpr size_t kilobyte = 1'000;
  const scenario rows[] = {
      {"short partition", 1'000, 2, 10 * kilobyte},
      {"one box for 7 s", 7'000, 1, 10 * kilobyte},
      {"two boxes for 7 s", 7'000, 2, 10 * kilobyte},
      {"two boxes, large entries", 7'000, 2, 40 * kilobyte},
      {"two boxes, compacted meanwhile", 7'000, 2, 10 * kilobyte, 3'000,
       4'000 * kilobyte},
      {"two boxes, a large state", 7'000, 2, 10 * kilobyte, 3'000,
       16'000 * kilobyte},
      {"two boxes, compacted three times", 7'000, 2, 2 * kilobyte, 6'000,
       4'000 * kilobyte, 1, 0, 3},
      {"a long latency", 7'000, 2, 10 * kilobyte, 0, 0, 20},
  };
  for (const scenario& it : rows) {
    cluster all(it);
    all.elect_leader();
    all.isolate();
    const int interval = it.compacted_ms / it.compactions;
    for (int i = 0; interval > 0 && i < it.compactions; ++i) {
      all.advance(interval);
      all.compact();
    }
    all.advance(it.partition_ms - it.compacted_ms);
    all.heal();
    all.advance(5'000);
    CHECK_TEXT(all.caught_up(), str_cat(it.name, ": not caught up").c_str());
    // One entry is proposed every 15 ms; those of the 5 s after the partition
    // follow the missed ones.
    const size_t missed =
        it.entry_bytes * (it.partition_ms - it.compacted_ms) / 15;
    const size_t later = it.entry_bytes * 5'000 / 15;
    const size_t expected_bytes =
        it.isolated_boxes * (missed + later + it.state_bytes);
    check_at_most(expected_bytes * 3 / 2, all.bytes_sent(), it.name, "bytes");
    check_at_most(max_wait_ms, all.longest_wait_ms(), it.name, "wait in ms");
  }
}

// The leader loses its lease if a voter that the majority needs answers no
// heartbeat round while it receives a snapshot.
TEST(returning_follower, answers_heartbeat_rounds_during_a_snapshot) {
  constexpr int lease_ms = 650;
  for (const int latency : {1, 10, 25}) {
    const scenario it{"a needed voter", 3'000,  1, 1'000, 2'000,
                      16'000'000,       latency};
    cluster all(it);
    all.elect_leader();
    all.isolate();
    all.advance(it.compacted_ms);
    all.compact();
    all.advance(it.partition_ms - it.compacted_ms);
    all.heal();
    all.crash(2, 3);
    all.advance(8'000);
    check_at_most(lease_ms, all.longest_round_ms(), it.name, "round in ms");
    CHECK_TEXT(all.caught_up(), str_cat("latency ", latency).c_str());
  }
}

// A fixed bound on the bytes in flight would delay commits when disks are slow.
TEST(returning_follower, commits_keep_up_on_slow_disks) {
  for (const int sync : {0, 60, 120}) {
    scenario it{"slow disks", 0, 0, 40'000};
    it.sync_ms = sync;
    cluster all(it);
    all.elect_leader();
    all.advance(15'000);
    constexpr size_t max_uncommitted = 40;
    check_at_most(max_uncommitted, all.uncommitted(), it.name, "uncommitted");
  }
}

// Guards against resending parts while the first ones are still in flight,
// faster than a slow link delivers them.
TEST(returning_follower, gets_a_snapshot_over_a_slow_link) {
  scenario it{"slow link", 2'000, 1, 500, 1'000, 1'000'000};
  it.slow_bytes_per_ms = 60;
  cluster all(it);
  all.elect_leader();
  all.isolate();
  all.advance(it.compacted_ms);
  all.compact();
  all.advance(it.partition_ms - it.compacted_ms);
  all.heal();
  all.advance(120'000);
  CHECK_TRUE(all.caught_up());
}

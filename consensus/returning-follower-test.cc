// What a leader sends to followers that were cut off for a while.
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
/// 200 Mbit/s.
constexpr size_t link_bytes_per_ms = 25'000;
/// Answers to heartbeats share the connection; those after 450 ms are late.
constexpr int most_wait_ms = 200;
constexpr int tick_ms = 100;
/// Messages of so long wait for a connection that is being made.
constexpr int dial_ms = 700;
constexpr int way_ms = 1;

struct scenario {
  const char* name;
  int cut_ms;
  // Boxes that are cut off, of five.
  int cut;
  size_t entry_bytes;
  // When the leader compacts its log during the cut, and to how much; 0: never.
  int compacted_ms = 0;
  size_t state_bytes = 0;
};

struct message_on_way {
  int due;
  int sent;
  proto::raft_message it;
};

/// Five replicas on a clock in milliseconds. What b0 sends shares one link.
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

  void lead() {
    proto::raft_message m;
    m.set_kind(proto::raft_timeout_now);
    m.set_from("b1");
    m.set_from_identity("founder");
    m.set_to("b0");
    replicas_[0]->step(m);
    pass(1'000);
    CHECK_TRUE(replicas_[0]->role() == raft_role::leader);
  }

  void cut() { first_cut_ = boxes - scenario_.cut; }
  void heal() {
    first_cut_ = boxes;
    counting_ = true;
    for (const auto& [to, all] : held_) {
      for (const proto::raft_message& it : all) put_on_link(it);
    }
  }

  void pass(int ms) {
    for (int i = 0; i < ms; ++i) step();
  }

  /// The leader's log up to here becomes a snapshot.
  void compact() {
    const auto snapshot =
        replicas_[0]->make_snapshot(std::string(scenario_.state_bytes, 's'));
    replicas_[0]->compact(snapshot);
  }

  bool caught_up() const {
    return std::all_of(replicas_.begin(), replicas_.end(), [&](const auto& it) {
      return it->commit_index() + 5 > replicas_[0]->commit_index();
    });
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
      if (now_ % tick_ms == i) replicas_[i]->tick();
      take(i);
    }
    deliver();
  }

  void take(int i) {
    raft_actions actions = replicas_[i]->take();
    if (actions.persist) replicas_[i]->persisted();
    for (const proto::raft_message& it : actions.messages) send(i, it);
  }

  void send(int from, const proto::raft_message& it) {
    const int to = it.to().back() - '0';
    if (from >= first_cut_) return;
    if (to >= first_cut_) {
      if (now_ - held_since_ >= dial_ms) {
        held_.clear();
        held_since_ = now_;
      }
      constexpr size_t most_held = 256;
      auto& all = held_[to];
      if (all.size() < most_held) all.push_back(it);
      return;
    }
    if (from == 0) return put_on_link(it);
    on_way_.push_back({now_ + way_ms, now_, it});
  }

  void put_on_link(const proto::raft_message& it) {
    const double length = static_cast<double>(it.ByteSizeLong());
    link_free_at_ = std::max(link_free_at_, static_cast<double>(now_)) +
                    length / link_bytes_per_ms;
    const int due = static_cast<int>(link_free_at_) + way_ms;
    on_way_.push_back({due, now_, it});
    if (!counting_) return;
    longest_wait_ms_ = std::max(longest_wait_ms_, due - now_);
    const bool returns = it.to().back() - '0' >= boxes - scenario_.cut;
    if (returns) bytes_sent_ += it.ByteSizeLong();
  }

  void deliver() {
    std::vector<proto::raft_message> due;
    std::erase_if(on_way_, [&](const message_on_way& it) {
      if (it.due > now_) return false;
      due.push_back(it.it);
      return true;
    });
    for (const proto::raft_message& it : due) {
      replicas_[it.to().back() - '0']->step(it);
    }
  }

  scenario scenario_;
  seeded_random random_{1};
  std::array<std::unique_ptr<raft>, boxes> replicas_;
  std::deque<message_on_way> on_way_;
  // To boxes that are cut off, while a connection is being made.
  std::map<int, std::vector<proto::raft_message>> held_;
  int held_since_ = 0;
  int first_cut_ = boxes;
  int now_ = 0;
  double link_free_at_ = 0;
  bool counting_ = false;
  size_t bytes_sent_ = 0;
  int longest_wait_ms_ = 0;
};

void check_within(size_t most, size_t found, const char* name,
                  const char* what) {
  CHECK_TEXT(found <= most,
             str_cat(name, ", ", what, ": ", found, " of ", most).c_str());
}

}  // namespace

TEST_GROUP(returning_follower){};

// A follower that was cut off got its missing log once for each message that
// had waited for it, and what shared the connection waited for seconds.
TEST(returning_follower, is_sent_what_it_missed_about_once) {
  constexpr size_t kilobyte = 1'000;
  const scenario rows[] = {
      {"short cut", 1'000, 2, 10 * kilobyte},
      {"one box for 7 s", 7'000, 1, 10 * kilobyte},
      {"two boxes for 7 s", 7'000, 2, 10 * kilobyte},
      {"two boxes, large entries", 7'000, 2, 40 * kilobyte},
      {"two boxes, compacted meanwhile", 7'000, 2, 10 * kilobyte, 3'000,
       4'000 * kilobyte},
      {"two boxes, a large state", 7'000, 2, 10 * kilobyte, 3'000,
       16'000 * kilobyte},
  };
  for (const scenario& it : rows) {
    cluster all(it);
    all.lead();
    all.cut();
    all.pass(it.compacted_ms);
    if (it.compacted_ms > 0) all.compact();
    all.pass(it.cut_ms - it.compacted_ms);
    all.heal();
    all.pass(5'000);
    CHECK_TEXT(all.caught_up(), str_cat(it.name, ": not caught up").c_str());
    // Entries come at one in 15 ms; those of 5 s follow the missed ones.
    const size_t missed = it.entry_bytes * (it.cut_ms - it.compacted_ms) / 15;
    const size_t later = it.entry_bytes * 5'000 / 15;
    const size_t once = it.cut * (missed + later + it.state_bytes);
    check_within(once * 3 / 2, all.bytes_sent(), it.name, "bytes");
    check_within(most_wait_ms, all.longest_wait_ms(), it.name, "wait in ms");
  }
}

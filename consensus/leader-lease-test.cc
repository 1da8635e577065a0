// At most one box may decide at any time: three replicas whose ticks are the
// same time for all, cut off from each other and restarted by chance.
#include <CppUTest/TestHarness.h>

#include <deque>
#include <memory>
#include <vector>

#include "base/text.h"
#include "consensus/leader-lease.h"

using namespace kestrelreel;

namespace {

constexpr unsigned boxes = 3;
constexpr milliseconds tick{100};
constexpr unsigned election_ticks = 8;
constexpr milliseconds lease_time{650};

/// A replica whose disk is instant, and its lease.
struct lease_node {
  raft_state disk;
  std::unique_ptr<raft> it;
  std::unique_ptr<leader_lease> lease;
};

class lease_run {
 public:
  lease_run(uint64_t seed, bool quiet_start)
      : random_(seed), quiet_start_(quiet_start) {
    for (unsigned i = 0; i < boxes; ++i) {
      proto::replica& voter = *founders_.add_voters();
      voter.set_box(name(i));
      voter.set_identity("founder");
    }
    for (unsigned i = 0; i < boxes; ++i) {
      nodes_[i].disk.founding = founders_;
      start(i);
    }
  }

  /// Steps in which two boxes could decide.
  unsigned run(unsigned steps) {
    unsigned clashes = 0;
    for (unsigned i = 0; i < steps; ++i) {
      step();
      unsigned deciding = 0;
      for (lease_node& it : nodes_) {
        if (it.lease->valid(*it.it, now_)) ++deciding;
      }
      decided_ += deciding > 0 ? 1 : 0;
      clashes += deciding > 1 ? 1 : 0;
    }
    return clashes;
  }
  unsigned decided() const { return decided_; }

 private:
  static std::string name(unsigned i) { return str_cat("b", i); }

  void start(unsigned i) {
    raft_settings settings;
    settings.self = box_id(name(i));
    settings.identity = "founder";
    settings.election_ticks = election_ticks;
    settings.quiet_start = quiet_start_;
    nodes_[i].it = std::make_unique<raft>(settings, random_, nodes_[i].disk);
    nodes_[i].lease = std::make_unique<leader_lease>(lease_time);
  }

  void pump(unsigned i) {
    lease_node& node = nodes_[i];
    for (;;) {
      raft_actions actions = node.it->take();
      for (auto& m : actions.messages) {
        const unsigned to = static_cast<unsigned>(m.to()[1] - '0');
        if (!cut_[i][to]) network_.push_back(m);
      }
      if (!actions.persist) return;
      if (actions.persist->hard) node.disk.hard = *actions.persist->hard;
      for (const proto::log_entry& it : actions.persist->entries) {
        node.disk.entries.resize(it.index() - 1);
        node.disk.entries.push_back(it);
      }
      node.it->persisted();
    }
  }

  void step() {
    now_ += tick;
    const uint64_t dice = random_.below(100);
    if (dice < 5) start(static_cast<unsigned>(random_.below(boxes)));
    if (dice >= 5 && dice < 13) {
      cut_[random_.below(boxes)][random_.below(boxes)] = true;
    }
    if (dice >= 13 && dice < 20) {
      for (auto& row : cut_) std::fill(row.begin(), row.end(), false);
    }
    for (unsigned i = 0; i < boxes; ++i) {
      nodes_[i].lease->before_tick(now_);
      nodes_[i].it->tick();
      nodes_[i].lease->after_tick(*nodes_[i].it);
      pump(i);
    }
    for (unsigned n = 0; n < 60 && !network_.empty(); ++n) {
      const proto::raft_message m = network_.front();
      network_.pop_front();
      const unsigned to = static_cast<unsigned>(m.to()[1] - '0');
      nodes_[to].it->step(m);
      pump(to);
    }
    network_.clear();
  }

  seeded_random random_;
  bool quiet_start_;
  proto::membership founders_;
  lease_node nodes_[boxes];
  std::vector<std::vector<bool>> cut_{boxes, std::vector<bool>(boxes, false)};
  std::deque<proto::raft_message> network_;
  time_point now_{10'000};
  unsigned decided_ = 0;
};

}  // namespace

TEST_GROUP(leader_lease){};

TEST(leader_lease, never_two_that_decide) {
  unsigned decided = 0;
  for (uint64_t seed = 1; seed <= 300; ++seed) {
    lease_run run(seed, true);
    LONGS_EQUAL_TEXT(0, run.run(400), str_cat("seed ", seed).c_str());
    decided += run.decided();
  }
  CHECK_TRUE(decided > 300 * 100);
}

TEST(leader_lease, without_the_quiet_start_two_may_decide) {
  unsigned clashes = 0;
  for (uint64_t seed = 1; seed <= 3'000 && clashes == 0; ++seed) {
    clashes += lease_run(seed, false).run(400);
  }
  CHECK_TRUE(clashes > 0);
}

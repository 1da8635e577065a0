// All boxes lose power at the same moment, and as many as the cluster tolerates
// also lose their disks, chosen among the holders of the last acknowledged
// entry. That entry would be lost if it was acknowledged before a majority had
// synced it, or if a box with an empty disk could vote. After a restart of all
// boxes every acknowledged entry must exist, a leader must be elected, and the
// boxes with empty disks must become voters again.
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <exception>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/text.h"
#include "consensus/quorum.h"
#include "consensus/soak/soak-box.h"

using namespace kestrelreel;

namespace {

constexpr unsigned busy_steps = 20'000;
constexpr unsigned recovery_steps = 6'000;
constexpr size_t max_messages = 400;

/// Result of a run.
struct run_outcome {
  std::string violation;
  /// Boxes that had synced the last acknowledged entry.
  size_t holders = 0;
  bool leader_wiped = false;
  bool from_snapshot = false;
};

class power_loss_run final : public soak_observer {
 public:
  explicit power_loss_run(const soak_options& options)
      : options_(options), random_(options.seed * 104'729 + 3) {
    std::vector<std::string> names;
    for (unsigned i = 0; i < options_.replicas; ++i) {
      names.push_back(str_cat("b", i));
    }
    for (const std::string& it : names) {
      boxes_.push_back(
          std::make_unique<soak_box>(it, names, options_, random_, *this));
    }
    for (auto& it : boxes_) it->start(true);
    // Boxes with slow disks lag, so that sometimes only a bare majority holds
    // the acknowledged entries.
    slow_box_count_ = random_.below(tolerated_losses() + 1);
    target_acknowledged_ = 5 + random_.below(60);
  }

  run_outcome run() {
    bool just_acknowledged = false;
    for (unsigned i = 0; i < busy_steps; ++i) {
      const size_t before = acknowledged_.size();
      busy_step();
      record_acknowledged();
      just_acknowledged = acknowledged_.size() > before;
      if (just_acknowledged && acknowledged_.size() >= target_acknowledged_)
        break;
    }
    if (!just_acknowledged) fail("too few commands were acknowledged");
    if (no_violation()) lose_power_everywhere();
    if (no_violation()) recover();
    return std::move(outcome_);
  }

  void sent(const proto::raft_message& m) override {
    if (network_.size() < max_messages) network_.push_back(m);
  }
  void applied(const std::string& /*box*/,
               const proto::log_entry& entry) override {
    const bool counts = !power_lost_ && entry.kind() == proto::entry_command;
    if (counts && entry.index() > last_command_.index()) last_command_ = entry;
  }
  void installed(const std::string& /*box*/, uint64_t /*index*/,
                 const std::vector<std::string>& /*state*/) override {}

 private:
  bool no_violation() const { return outcome_.violation.empty(); }
  void fail(const std::string& text) {
    if (no_violation()) outcome_.violation = text;
  }
  size_t tolerated_losses() const { return (boxes_.size() - 1) / 2; }
  soak_box& random_box() { return *boxes_[random_.below(boxes_.size())]; }

  soak_box* leader() {
    soak_box* best = nullptr;
    for (auto& it : boxes_) {
      const raft& r = it->instance().state();
      if (r.role() != raft_role::leader) continue;
      if (best == nullptr || r.term() > best->instance().state().term()) {
        best = it.get();
      }
    }
    return best;
  }

  void busy_step() {
    const uint64_t dice = random_.below(100);
    if (dice < 45) return deliver();
    if (dice < 60) return random_box().instance().tick();
    if (dice < 92) return run_random_disk();
    propose();
  }

  void run_random_disk() {
    const size_t i = random_.below(boxes_.size());
    const bool delayed = i < slow_box_count_ && random_.below(12) != 0;
    if (!delayed) boxes_[i]->run_disk();
  }

  void deliver() {
    if (network_.empty()) return;
    std::swap(network_[random_.below(network_.size())], network_.back());
    const proto::raft_message m = std::move(network_.back());
    network_.pop_back();
    if (random_.below(20) != 0) dispatch(m);
  }

  void dispatch(const proto::raft_message& m) {
    for (auto& it : boxes_) {
      if (it->box() == m.to()) it->instance().receive(m);
    }
  }

  bool propose() {
    soak_box* it = leader();
    return it != nullptr &&
           it->instance().propose(str_cat("c", ++proposals_)).ok();
  }

  /// Counts commands as acknowledged once the leader has applied them, which is
  /// when a leader answers its callers.
  void record_acknowledged() {
    const soak_box* it = leader();
    if (it == nullptr) return;
    for (size_t i = acknowledged_.size(); i < it->state().size(); ++i) {
      acknowledged_.push_back(it->state()[i]);
    }
  }

  void lose_power_everywhere() {
    power_lost_ = true;
    std::vector<soak_box*> holders;
    for (auto& it : boxes_) {
      if (it->holds_synced(last_command_)) holders.push_back(it.get());
    }
    outcome_.holders = holders.size();
    const soak_box* old_leader = leader();
    for (size_t i = 0; i < tolerated_losses() && !holders.empty(); ++i) {
      const size_t chosen = random_.below(holders.size());
      soak_box* it = holders[chosen];
      holders.erase(holders.begin() + static_cast<ptrdiff_t>(chosen));
      outcome_.leader_wiped = outcome_.leader_wiped || it == old_leader;
      it->lose_power();
      it->wipe();
    }
    for (auto& it : boxes_) {
      outcome_.from_snapshot = outcome_.from_snapshot || it->snapshots() > 0;
      if (it->up()) it->lose_power();
    }
    // Messages in flight may or may not arrive after the restart.
    if (random_.below(2) == 0) network_.clear();
    for (auto& it : boxes_) {
      it->start(false);
      const bool fault_free = options_.fault == injected_fault::none;
      if (fault_free && it->applied_index() < it->highest_applied()) {
        fail(str_cat(it->box(), " starts below its highest applied index"));
      }
    }
  }

  /// No box may lead without the last acknowledged entry.
  void check_leaders() {
    for (auto& it : boxes_) {
      const raft& r = it->instance().state();
      if (r.role() != raft_role::leader) continue;
      const raft_log& log = r.log();
      const uint64_t index = last_command_.index();
      if (index < log.snapshot_index()) continue;
      if (log.has_term(index) && log.term_at(index) == last_command_.term())
        continue;
      fail(
          str_cat("lost ", last_command_.payload(), ": ", it->box(), " leads"));
    }
  }

  /// Without further faults, the boxes must agree on one more command.
  void recover() {
    bool proposed = false;
    for (unsigned i = 0; i < recovery_steps; ++i) {
      for (auto& it : boxes_) it->run_disk();
      if (i % 12 == 0) {
        for (auto& it : boxes_) it->instance().tick();
      }
      for (const auto& m : std::exchange(network_, {})) dispatch(m);
      // A run with a deliberate fault stops at its first violation.
      check_leaders();
      if (!no_violation()) return;
      const bool retry_due = i % 600 == 599;
      if (!proposed || retry_due) proposed = propose();
      if (i % 100 == 99 && has_recovered()) return check_end();
    }
    fail(leader() == nullptr ? "no leader was elected"
                             : "the boxes do not agree after the faults ended");
  }

  /// True when all boxes hold the last command and are voters with their
  /// current data folders.
  bool has_recovered() {
    const soak_box* it = leader();
    if (it == nullptr) return false;
    const auto& state = it->state();
    const bool held =
        !state.empty() && state.back() == str_cat("c", proposals_);
    if (!held) return false;
    return std::all_of(boxes_.begin(), boxes_.end(), [&](const auto& member) {
      return member->state() == state &&
             is_voter(it->instance().state().members(), member->box(),
                      member->identity());
    });
  }

  void check_end() {
    const auto& state = boxes_[0]->state();
    for (size_t i = 0; i < acknowledged_.size(); ++i) {
      const bool found = i < state.size() && state[i] == acknowledged_[i];
      if (!found) return fail(str_cat("lost ", acknowledged_[i]));
    }
  }

  soak_options options_;
  seeded_random random_;
  std::vector<std::unique_ptr<soak_box>> boxes_;
  std::vector<proto::raft_message> network_;
  std::vector<std::string> acknowledged_;
  // The last command applied before the power loss.
  proto::log_entry last_command_;
  bool power_lost_ = false;
  size_t slow_box_count_ = 0;
  size_t target_acknowledged_ = 0;
  uint64_t proposals_ = 0;
  run_outcome outcome_;
};

run_outcome run_seed(uint64_t seed, unsigned replicas, injected_fault fault) {
  soak_options options;
  options.seed = seed;
  options.replicas = replicas;
  options.fault = fault;
  try {
    return power_loss_run(options).run();
  } catch (const std::exception& error) {
    run_outcome it;
    it.violation = str_cat("the code threw: ", error.what());
    return it;
  }
}

struct row {
  unsigned replicas;
  uint64_t seeds;
};
const row rows[] = {{3, 150}, {5, 150}};

}  // namespace

TEST_GROUP(power_loss){};

TEST(power_loss, acknowledged_entries_survive_power_loss_and_lost_disks) {
  for (const row& it : rows) {
    unsigned bare_majority = 0;
    unsigned leaders_wiped = 0;
    unsigned from_snapshot = 0;
    for (uint64_t seed = 1; seed <= it.seeds; ++seed) {
      const run_outcome result =
          run_seed(seed, it.replicas, injected_fault::none);
      CHECK_TEXT(
          result.violation.empty(),
          str_cat(it.replicas, " replicas, seed ", seed, ": ", result.violation)
              .c_str());
      const size_t majority = it.replicas / 2 + 1;
      CHECK_TRUE(result.holders >= majority);
      bare_majority += result.holders == majority ? 1 : 0;
      leaders_wiped += result.leader_wiped ? 1 : 0;
      from_snapshot += result.from_snapshot ? 1 : 0;
    }
    // The seeds must cover the hard cases.
    CHECK_TRUE(bare_majority >= it.seeds / 10);
    CHECK_TRUE(leaders_wiped >= it.seeds / 10);
    CHECK_TRUE(from_snapshot >= it.seeds / 10);
  }
}

TEST(power_loss, deliberate_faults_are_detected) {
  for (const row& it : rows) {
    for (const injected_fault fault : {injected_fault::acknowledge_unsynced,
                                       injected_fault::empty_replica_votes}) {
      unsigned detected = 0;
      for (uint64_t seed = 1; seed <= it.seeds && detected == 0; ++seed) {
        const run_outcome result = run_seed(seed, it.replicas, fault);
        if (result.violation.starts_with("lost ")) ++detected;
      }
      CHECK_TRUE(detected > 0);
    }
  }
}

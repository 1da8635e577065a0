// Checks the consensus code in seeded runs with faults, and checks that these
// runs detect deliberate faults.
#include <CppUTest/TestHarness.h>

#include "base/text.h"
#include "consensus/soak/soak-run.h"

using namespace kestrelreel;

TEST_GROUP(raft){};

TEST(raft, invariants_hold_under_faults) {
  constexpr uint64_t seeds = 400;
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    soak_options options;
    options.seed = seed;
    options.replicas = seed % 4 == 0 ? 5 : 3;
    const soak_report it = run_soak(options);
    CHECK_TEXT(it.violation.empty(),
               str_cat("seed ", seed, ": ", it.violation).c_str());
  }
}

TEST(raft, seeded_runs_cover_faults_and_progress) {
  soak_report all;
  for (uint64_t seed = 1; seed <= 40; ++seed) {
    soak_options options;
    options.seed = seed;
    const soak_report it = run_soak(options);
    all.committed += it.committed;
    all.crashes += it.crashes;
    all.wipes += it.wipes;
    all.snapshots += it.snapshots;
    all.elections += it.elections;
  }
  CHECK_TRUE(all.committed > 1'000);
  CHECK_TRUE(all.crashes > 100);
  CHECK_TRUE(all.wipes > 10);
  CHECK_TRUE(all.snapshots > 40);
  CHECK_TRUE(all.elections > 80);
}

TEST(raft, same_seed_gives_same_run) {
  soak_options options;
  options.seed = 5;
  const soak_report a = run_soak(options);
  const soak_report b = run_soak(options);
  CHECK_EQUAL(a.committed, b.committed);
  CHECK_EQUAL(a.elections, b.elections);
}

TEST(raft, deliberate_faults_are_detected) {
  constexpr uint64_t seeds = 3'000;
  for (const injected_fault fault :
       {injected_fault::vote_not_synced, injected_fault::acknowledge_unsynced,
        injected_fault::empty_replica_votes}) {
    uint64_t caught = 0;
    for (uint64_t seed = 1; seed <= seeds && caught == 0; ++seed) {
      soak_options options;
      options.seed = seed;
      options.fault = fault;
      if (!run_soak(options).violation.empty()) ++caught;
    }
    CHECK_TEXT(
        caught > 0,
        str_cat("fault ", static_cast<int>(fault), " not caught").c_str());
  }
}

namespace {

/// The state machine of b0, one of three replicas, without any I/O.
struct single_replica {
  explicit single_replica(std::string identity = "founder") {
    raft_settings settings;
    settings.self = box_id("b0");
    settings.identity = std::move(identity);
    for (const char* box : {"b0", "b1", "b2"}) {
      settings.replica_boxes.emplace_back(box);
      proto::replica& voter = *founding.add_voters();
      voter.set_box(box);
      voter.set_identity("founder");
    }
    raft_state state;
    state.founding = founding;
    instance = std::make_unique<raft>(settings, random, state);
  }

  /// Takes the actions and completes all writes at once.
  raft_actions settle() {
    raft_actions all;
    for (int i = 0; i < 5; ++i) {
      raft_actions more = instance->take_actions();
      if (more.persist) instance->persisted();
      for (auto& m : more.messages) all.messages.push_back(m);
      for (auto& e : more.committed) all.committed.push_back(e);
      if (more.install) all.install = more.install;
    }
    return all;
  }

  proto::raft_message from_leader(proto::raft_kind kind, uint64_t previous) {
    proto::raft_message m;
    m.set_kind(kind);
    m.set_from("b1");
    m.set_from_identity("founder");
    m.set_to("b0");
    m.set_term(1);
    m.set_log_index(previous);
    m.set_log_term(previous == 0 ? 0 : 1);
    return m;
  }

  static void add_entry(proto::raft_message& m, uint64_t index) {
    proto::log_entry& entry = *m.add_entries();
    entry.set_index(index);
    entry.set_term(1);
    entry.set_kind(proto::entry_command);
  }

  proto::membership founding;
  seeded_random random{1};
  std::unique_ptr<raft> instance;
};

proto::raft_message snapshot_message(single_replica& box, uint64_t index) {
  proto::raft_message m = box.from_leader(proto::raft_install, 0);
  m.mutable_snapshot()->set_index(index);
  m.mutable_snapshot()->set_term(1);
  *m.mutable_snapshot()->mutable_members() = box.founding;
  return m;
}

}  // namespace

// If a late snapshot that the log already covers dropped acknowledged entries,
// the replica could apply a different entry at the same index.
TEST(raft, late_snapshot_keeps_acknowledged_entries) {
  single_replica box;
  proto::raft_message m = box.from_leader(proto::raft_append, 0);
  for (uint64_t i = 1; i <= 5; ++i) single_replica::add_entry(m, i);
  box.instance->step(m);
  box.settle();
  box.instance->step(snapshot_message(box, 3));
  box.settle();
  CHECK_EQUAL(5, box.instance->log().last_index());
  CHECK_EQUAL(3, box.instance->commit_index());
}

// If a snapshot were installed before it is durable, a box could restart below
// the index that it had applied.
TEST(raft, snapshot_is_not_installed_before_it_is_durable) {
  single_replica box;
  box.instance->step(snapshot_message(box, 3));
  const raft_actions before = box.instance->take_actions();
  CHECK_TRUE(before.persist.has_value());
  CHECK_TRUE(before.install == nullptr);
  box.instance->persisted();
  CHECK_TRUE(box.instance->take_actions().install != nullptr);
}

// The commit index must be durable before its entries are applied, so that a
// replica that restarts without its peers does not fall back.
TEST(raft, entry_is_not_applied_before_its_commit_is_durable) {
  single_replica box;
  proto::raft_message m = box.from_leader(proto::raft_append, 0);
  single_replica::add_entry(m, 1);
  m.set_commit(1);
  box.instance->step(m);
  const raft_actions first = box.instance->take_actions();
  CHECK_TRUE(first.committed.empty());
  CHECK_EQUAL(1, first.persist->hard->commit());
  box.instance->persisted();
  CHECK_EQUAL(1, box.instance->take_actions().committed.size());
}

// A replica that became a learner by an entry that no other replica holds must
// announce itself; otherwise it never rejoins.
TEST(raft, learner_without_leader_announces_itself) {
  single_replica box("other-folder");
  proto::raft_message m = box.from_leader(proto::raft_append, 0);
  single_replica::add_entry(m, 1);
  proto::membership members = box.founding;
  members.mutable_voters()->RemoveLast();
  proto::replica& learner = *members.add_learners();
  learner.set_box("b0");
  learner.set_identity("other-folder");
  m.mutable_entries(0)->set_kind(proto::entry_membership);
  m.mutable_entries(0)->set_payload(members.SerializeAsString());
  box.instance->step(m);
  box.settle();
  for (int i = 0; i < 25; ++i) box.instance->tick();
  CHECK_TRUE(box.instance->take_actions().messages.size() >= 2);
}

namespace {

struct vote_row {
  const char* name;
  proto::raft_kind kind;
  uint64_t term;
  uint64_t last_index;
  uint64_t last_term;
  const char* identity;
  bool granted;
};

}  // namespace

TEST(raft, votes_are_granted_only_to_candidates_that_hold_the_log) {
  const vote_row rows[] = {
      {"as long", proto::raft_vote, 2, 2, 1, "founder", true},
      {"longer", proto::raft_vote, 2, 9, 1, "founder", true},
      {"shorter", proto::raft_vote, 2, 1, 1, "founder", false},
      {"empty", proto::raft_vote, 2, 0, 0, "founder", false},
      {"old term", proto::raft_vote, 0, 9, 9, "founder", false},
      {"pre-vote", proto::raft_pre_vote, 2, 2, 1, "founder", true},
      {"pre-vote of the same term", proto::raft_pre_vote, 1, 2, 1, "founder",
       false},
  };
  for (const vote_row& row : rows) {
    single_replica box;
    proto::raft_message m = box.from_leader(proto::raft_append, 0);
    single_replica::add_entry(m, 1);
    single_replica::add_entry(m, 2);
    box.instance->step(m);
    box.settle();
    for (int i = 0; i < 30; ++i) box.instance->tick();
    box.settle();
    proto::raft_message request = box.from_leader(row.kind, 0);
    request.set_from("b2");
    request.set_from_identity(row.identity);
    request.set_term(row.term);
    request.set_log_index(row.last_index);
    request.set_log_term(row.last_term);
    box.instance->step(request);
    bool granted = false;
    for (const auto& it : box.settle().messages) granted |= it.granted();
    CHECK_EQUAL_TEXT(row.granted, granted, row.name);
  }
}

// A replica with a new data folder must neither vote nor count in a majority
// until it has caught up.
TEST(raft, votes_of_an_empty_replica_do_not_count) {
  for (const char* identity : {"founder", "new-folder"}) {
    single_replica box;
    for (int i = 0; i < 30; ++i) box.instance->tick();
    box.settle();
    CHECK_TRUE(box.instance->role() == raft_role::pre_candidate);
    proto::raft_message vote = box.from_leader(proto::raft_pre_vote_reply, 0);
    vote.set_from_identity(identity);
    vote.set_term(box.instance->term() + 1);
    vote.set_granted(true);
    box.instance->step(vote);
    const bool started_election = box.instance->role() == raft_role::candidate;
    CHECK_EQUAL(std::string(identity) == "founder", started_election);
  }
}

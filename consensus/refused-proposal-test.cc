// Callers of a refused proposal are told that it certainly has no effect. Such
// a proposal must never appear in a log entry, in a message or on a disk.
#include <CppUTest/TestHarness.h>

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "consensus/replica.h"
#include "consensus/soak/fake-disk.h"

using namespace kestrelreel;

namespace {

constexpr const char* command = "the command that was refused";
constexpr int settle_ticks = 60;

/// A replica whose messages and writes the test controls.
class manual_box final : public replica_callbacks, public serial_executor {
 public:
  explicit manual_box(int voters) {
    proto::membership members;
    for (int i = 0; i < voters; ++i) {
      proto::replica& voter = *members.add_voters();
      voter.set_box(std::string(1, static_cast<char>('a' + i)));
      voter.set_identity("founder");
    }
    auto store = log_store::create(disk_, box_id("a"), "founder", members);
    raft_settings settings;
    settings.self = box_id("a");
    settings.identity = "founder";
    settings.slow_write_ticks = 4;
    instance = std::make_unique<replica>(settings, random_, std::move(*store),
                                         *this, *this);
  }

  void run(std::function<absl::Status()> work,
           std::function<void(absl::Status)> done) override {
    writes_.push_back({std::move(work), std::move(done)});
  }
  void send(const proto::raft_message& m) override { sent += m.DebugString(); }
  void install(const proto::log_snapshot&) override {}
  void apply(const proto::log_entry& entry) override {
    applied += entry.payload();
  }
  std::string save_state() override { return ""; }
  void disk_failed(const absl::Status&) override {}

  void run_disk(const absl::Status& fault = absl::OkStatus()) {
    const auto writes = std::exchange(writes_, {});
    for (const pending_write& w : writes) w.done(fault.ok() ? w.work() : fault);
  }
  void receive_from_b(proto::raft_kind kind, uint64_t term,
                      uint64_t match = 0) {
    proto::raft_message m;
    m.set_kind(kind);
    m.set_from("b");
    m.set_from_identity("founder");
    m.set_to("a");
    m.set_term(term);
    m.set_granted(true);
    m.set_match(match);
    instance->receive(m);
  }
  /// Makes the replica the leader of its term with its first entry committed.
  void become_leader() {
    while (instance->state().role() == raft_role::follower) instance->tick();
    run_disk();
    receive_from_b(proto::raft_pre_vote_reply, instance->state().term() + 1);
    run_disk();
    receive_from_b(proto::raft_vote_reply, instance->state().term());
    run_disk();
    receive_from_b(proto::raft_append_reply, instance->state().term(), 1);
    run_disk();
    CHECK_TRUE(instance->state().is_ready_leader());
  }
  void tick(int n) {
    for (int i = 0; i < n; ++i) {
      instance->tick();
      run_disk();
    }
  }
  bool contains_anywhere(const std::string& text) const {
    const raft_log& log = instance->state().log();
    for (uint64_t i = log.snapshot_index() + 1; i <= log.last_index(); ++i) {
      if (log.at(i).payload() == text) return true;
    }
    for (const auto& [name, file] : disk_.files()) {
      const std::string bytes = file.synced + file.unsynced;
      if (bytes.find(text) != std::string::npos) return true;
    }
    return sent.find(text) != std::string::npos ||
           applied.find(text) != std::string::npos;
  }

  std::unique_ptr<replica> instance;
  std::string sent;
  std::string applied;

 private:
  struct pending_write {
    std::function<absl::Status()> work;
    std::function<void(absl::Status)> done;
  };
  seeded_random random_{1};
  mutable fake_disk disk_;
  std::deque<pending_write> writes_;
};

}  // namespace

TEST_GROUP(refused_proposal){};

TEST(refused_proposal, leaves_nothing_behind) {
  struct {
    const char* name;
    std::function<void(manual_box&)> prepare;
  } const rows[] = {
      {"just started", [](manual_box&) {}},
      {"candidate",
       [](manual_box& box) {
         while (box.instance->state().role() == raft_role::follower)
           box.instance->tick();
       }},
      {"lost its majority",
       [](manual_box& box) {
         box.become_leader();
         box.tick(settle_ticks);
       }},
      {"another leader",
       [](manual_box& box) {
         box.become_leader();
         box.receive_from_b(proto::raft_append,
                            box.instance->state().term() + 1);
       }},
      {"transferred leadership",
       [](manual_box& box) {
         box.become_leader();
         box.instance->transfer_leadership();
       }},
      {"full disk",
       [](manual_box& box) {
         box.become_leader();
         CHECK_TRUE(box.instance->propose("earlier command").ok());
         box.run_disk(absl::ResourceExhaustedError("full"));
       }},
      {"slow disk",
       [](manual_box& box) {
         box.become_leader();
         CHECK_TRUE(box.instance->propose("earlier command").ok());
         for (int i = 0; i < 4; ++i) box.instance->tick();
       }},
      {"failed disk",
       [](manual_box& box) {
         box.become_leader();
         CHECK_TRUE(box.instance->propose("earlier command").ok());
         box.run_disk(absl::InternalError("broken"));
       }},
  };
  for (const auto& row : rows) {
    manual_box box(3);
    row.prepare(box);
    const uint64_t last = box.instance->state().log().last_index();
    const absl::Status status = box.instance->propose(command);
    CHECK_TRUE_TEXT(absl::IsUnavailable(status), row.name);
    CHECK_EQUAL_TEXT(last, box.instance->state().log().last_index(), row.name);
    box.tick(settle_ticks);
    CHECK_FALSE_TEXT(box.contains_anywhere(command), row.name);
  }
}

// Shows that `contains_anywhere` finds an accepted command, so that the check
// above is meaningful.
TEST(refused_proposal, accepted_proposal_is_found) {
  manual_box box(3);
  box.become_leader();
  CHECK_TRUE(box.instance->propose(command).ok());
  box.run_disk();
  CHECK_TRUE(box.contains_anywhere(command));
  CHECK_TRUE(box.sent.find(command) != std::string::npos);
}

// In a cluster of one voter no other replica can lead, so a replica with a full
// disk keeps the accepted proposals and never reports them as refused.
TEST(refused_proposal, accepted_on_a_full_disk_is_applied_once_space_is_free) {
  manual_box box(1);
  while (box.instance->state().role() == raft_role::follower)
    box.instance->tick();
  box.run_disk();
  CHECK_TRUE(box.instance->propose("earlier command").ok());
  box.run_disk(absl::ResourceExhaustedError("full"));
  CHECK_TRUE(box.instance->propose(command).ok());
  CHECK_TRUE(box.applied.find(command) == std::string::npos);
  box.tick(settle_ticks);
  CHECK_TRUE(box.applied.find(command) != std::string::npos);
}

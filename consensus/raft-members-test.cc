// Membership repair, and a replica whose disk is full or hangs.
#include <CppUTest/TestHarness.h>

#include <deque>
#include <map>
#include <memory>

#include "base/text.h"
#include "consensus/quorum.h"
#include "consensus/replica.h"

using namespace kestrelreel;

namespace {

/// A folder in memory whose appends fail while it is full.
class limited_disk final : public disk {
 public:
  absl::StatusOr<std::string> read(const std::string& name) override {
    const auto it = files.find(name);
    if (it == files.end()) return absl::NotFoundError(name);
    return it->second;
  }
  absl::StatusOr<std::unique_ptr<append_file>> open(const std::string& name,
                                                    size_t keep) override {
    files[name].resize(keep);
    return std::make_unique<file>(*this, name);
  }
  absl::Status replace(const std::string& name,
                       std::string_view content) override {
    if (full) return absl::ResourceExhaustedError("full");
    files[name] = std::string(content);
    return absl::OkStatus();
  }

  std::map<std::string, std::string> files;
  bool full = false;

 private:
  class file final : public append_file {
   public:
    file(limited_disk& owner, std::string name)
        : owner_(owner), name_(std::move(name)) {}
    absl::Status append(std::string_view bytes) override {
      if (owner_.full) {
        // A full disk may still accept a part of the bytes.
        owner_.files[name_] += bytes.substr(0, bytes.size() / 2);
        return absl::ResourceExhaustedError("full");
      }
      owner_.files[name_] += bytes;
      return absl::OkStatus();
    }
    absl::Status sync() override { return absl::OkStatus(); }

   private:
    limited_disk& owner_;
    std::string name_;
  };
};

/// Queues work until `drain` is called.
class manual_executor final : public serial_executor {
 public:
  void run(std::function<absl::Status()> work,
           std::function<void(absl::Status)> done) override {
    waiting.push_back(
        [work = std::move(work), done = std::move(done)] { done(work()); });
  }
  void drain() {
    while (!waiting.empty()) {
      const auto it = std::move(waiting.front());
      waiting.pop_front();
      it();
    }
  }
  std::deque<std::function<void()>> waiting;
};

class counting_callbacks final : public replica_callbacks {
 public:
  void send(const proto::raft_message& m) override { sent.push_back(m); }
  void install(const proto::log_snapshot&) override {}
  void apply(const proto::log_entry& entry) override {
    if (entry.kind() == proto::entry_command) ++applied;
  }
  std::string save_state() override { return ""; }
  void disk_full(const absl::Status&) override { ++full; }
  void disk_failed(const absl::Status&) override { ++failed; }
  std::vector<proto::raft_message> sent;
  int applied = 0;
  int full = 0;
  int failed = 0;
};

/// A membership of `n` voters from b0 on, and of the boxes after them as
/// learners.
proto::membership members_of(unsigned n, unsigned learners) {
  proto::membership members;
  for (unsigned i = 0; i < n; ++i) {
    proto::replica& it = *members.add_voters();
    it.set_box(str_cat("b", i));
    it.set_identity("founder");
  }
  for (unsigned i = n; i < n + learners; ++i) {
    proto::replica& it = *members.add_learners();
    it.set_box(str_cat("b", i));
    it.set_identity("founder");
  }
  return members;
}

/// Runs b0, one of `n` voters; the other boxes reply to a message when
/// `answers` is true for their name.
struct leader_run {
  leader_run(unsigned n, unsigned target, unsigned learners = 0) : random(7) {
    raft_settings settings;
    settings.self = box_id("b0");
    settings.identity = "founder";
    settings.target_voters = target;
    settings.slow_write_ticks = 4;
    auto store = log_store::create(folder, settings.self, "founder",
                                   members_of(n, learners));
    instance = std::make_unique<replica>(settings, random, std::move(*store),
                                         executor, callbacks);
  }
  void tick(const std::function<bool(const std::string&)>& answers) {
    instance->tick();
    for (int i = 0; i < 6; ++i) {
      executor.drain();
      const auto sent = std::exchange(callbacks.sent, {});
      for (const proto::raft_message& m : sent) {
        if (answers(m.to())) answer(m);
      }
    }
  }
  void answer(const proto::raft_message& m) {
    proto::raft_message reply;
    reply.set_from(m.to());
    reply.set_from_identity("founder");
    reply.set_to("b0");
    reply.set_term(m.term());
    reply.set_granted(true);
    reply.set_round(m.round());
    if (m.kind() == proto::raft_pre_vote) {
      reply.set_kind(proto::raft_pre_vote_reply);
    } else if (m.kind() == proto::raft_vote) {
      reply.set_kind(proto::raft_vote_reply);
    } else if (m.kind() == proto::raft_append) {
      reply.set_kind(proto::raft_append_reply);
      reply.set_match(m.log_index() + static_cast<uint64_t>(m.entries_size()));
    } else {
      return;
    }
    instance->receive(reply);
  }

  seeded_random random;
  limited_disk folder;
  manual_executor executor;
  counting_callbacks callbacks;
  std::unique_ptr<replica> instance;
};

}  // namespace

TEST_GROUP(raft_members){};

TEST(raft_members, silent_voter_is_removed_only_from_a_surplus) {
  struct row {
    unsigned voters;
    unsigned target;
    int voters_after;
  };
  const row rows[] = {{4, 3, 3}, {3, 3, 3}, {4, 0, 4}, {5, 3, 4}};
  for (const row& it : rows) {
    leader_run run(it.voters, it.target);
    const auto all = [](const std::string&) { return true; };
    const auto all_but_b1 = [](const std::string& box) { return box != "b1"; };
    for (int i = 0; i < 40; ++i) run.tick(all);
    LONGS_EQUAL(it.voters, run.instance->state().members().voters_size());
    for (int i = 0; i < 60; ++i) run.tick(all_but_b1);
    LONGS_EQUAL(it.voters_after, run.instance->state().members().voters_size());
  }
}

// Guards against promoting all learners, however many voters there are.
TEST(raft_members, learners_are_promoted_only_up_to_the_target) {
  struct row {
    unsigned voters;
    unsigned learners;
    unsigned target;
    int voters_after;
  };
  const row rows[] = {{3, 22, 5, 5}, {3, 1, 5, 4}, {5, 4, 5, 5}, {3, 2, 0, 5}};
  for (const row& it : rows) {
    leader_run run(it.voters, it.target, it.learners);
    for (int i = 0; i < 200; ++i) {
      run.tick([](const std::string&) { return true; });
    }
    LONGS_EQUAL(it.voters_after, run.instance->state().members().voters_size());
  }
}

TEST(raft_members, learner_replaces_a_silent_voter) {
  leader_run run(3, 3, 2);
  for (int i = 0; i < 40; ++i)
    run.tick([](const std::string&) { return true; });
  const auto all_but_b1 = [](const std::string& box) { return box != "b1"; };
  for (int i = 0; i < 80; ++i) run.tick(all_but_b1);
  const proto::membership& members = run.instance->state().members();
  LONGS_EQUAL(3, members.voters_size());
  CHECK_TRUE(find_voter(members, "b1") == nullptr);
}

TEST(raft_members, voters_are_spread_over_the_data_centres) {
  leader_run run(3, 5, 6);
  // b3 to b5 share the founders' data centres; b6 to b8 are in others.
  const char* data_centres[] = {"x", "y", "z", "x", "y", "z", "u", "v", "v"};
  for (unsigned i = 0; i < 9; ++i) {
    run.instance->assign_data_centre(box_id(str_cat("b", i)),
                                     data_centre_id(data_centres[i]));
  }
  for (int i = 0; i < 100; ++i) {
    run.tick([](const std::string&) { return true; });
  }
  const proto::membership& members = run.instance->state().members();
  LONGS_EQUAL(5, members.voters_size());
  CHECK_TRUE(find_voter(members, "b6") != nullptr);
  CHECK_TRUE((find_voter(members, "b7") != nullptr) !=
             (find_voter(members, "b8") != nullptr));
}

// Guards against sending each entry to each learner in a separate message.
TEST(raft_members, learners_get_entries_with_heartbeats_only) {
  leader_run run(3, 3, 2);
  const auto all = [](const std::string&) { return true; };
  for (int i = 0; i < 40; ++i) run.tick(all);
  std::map<std::string, int> sent;
  for (int i = 0; i < 50; ++i) {
    CHECK_TRUE(run.instance->propose("a").ok());
    run.tick([&](const std::string& box) {
      ++sent[box];
      return true;
    });
  }
  CHECK_TRUE(sent["b1"] >= 100);
  // One heartbeat every second tick, and one message after its reply.
  CHECK_TRUE(sent["b3"] <= 2 * 50 / 2);
}

TEST(raft_members, writes_resume_after_a_full_disk) {
  leader_run run(1, 0);
  const auto none = [](const std::string&) { return false; };
  for (int i = 0; i < 40; ++i) run.tick(none);
  CHECK_TRUE(run.instance->propose("a").ok());
  for (int i = 0; i < 3; ++i) run.tick(none);
  LONGS_EQUAL(1, run.callbacks.applied);
  run.folder.full = true;
  CHECK_TRUE(run.instance->propose("b").ok());
  for (int i = 0; i < 5; ++i) run.tick(none);
  LONGS_EQUAL(1, run.callbacks.applied);
  CHECK_TRUE(run.callbacks.full > 0);
  run.folder.full = false;
  for (int i = 0; i < 5; ++i) run.tick(none);
  LONGS_EQUAL(2, run.callbacks.applied);
  LONGS_EQUAL(0, run.callbacks.failed);
  const auto parsed = parse_log(run.folder.files["log"]);
  CHECK_TRUE(parsed.ok());
}

TEST(raft_members, leader_whose_disk_hangs_hands_over) {
  leader_run run(3, 3);
  const auto all = [](const std::string&) { return true; };
  for (int i = 0; i < 40; ++i) run.tick(all);
  CHECK_TRUE(run.instance->state().role() == raft_role::leader);
  CHECK_TRUE(run.instance->propose("a").ok());
  for (unsigned i = 0; i < 6; ++i) run.instance->tick();
  CHECK_TRUE(run.instance->state().role() != raft_role::leader);
  bool transferred = false;
  for (const proto::raft_message& it : run.callbacks.sent) {
    transferred = transferred || it.kind() == proto::raft_timeout_now;
  }
  CHECK_TRUE(transferred);
}

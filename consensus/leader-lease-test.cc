// At most one box may hold the lease at any time. Three replicas tick at the
// same times and are partitioned, restarted and suspended at random.
#include <CppUTest/TestHarness.h>

#include <deque>
#include <initializer_list>
#include <memory>
#include <vector>

#include "base/text.h"
#include "consensus/leader-lease.h"

using namespace kestrelreel;

namespace {

constexpr unsigned box_count = 3;
constexpr milliseconds tick{100};
constexpr unsigned election_ticks = 8;
constexpr milliseconds lease_time{650};

/// A replica whose disk is instant, and its lease.
struct lease_box {
  raft_state disk;
  std::unique_ptr<raft> instance;
  std::unique_ptr<leader_lease> lease;
  // Suspended until this time, and the total time suspended so far.
  time_point suspended_until{};
  milliseconds suspended{0};
};

/// Properties of a run.
struct lease_options {
  bool delay_first_vote = true;
  bool suspends = false;
  /// The boxes' clocks advance while a box is suspended.
  bool clock_counts_suspension = true;
};

class lease_run {
 public:
  lease_run(uint64_t seed, const lease_options& options)
      : random_(seed), options_(options) {
    for (unsigned i = 0; i < box_count; ++i) {
      proto::replica& voter = *founding_.add_voters();
      voter.set_box(name(i));
      voter.set_identity("founder");
    }
    for (unsigned i = 0; i < box_count; ++i) {
      boxes_[i].disk.founding = founding_;
      start(i);
    }
  }

  /// Returns the number of steps in which two boxes held the lease.
  unsigned run(unsigned steps) {
    unsigned conflicts = 0;
    for (unsigned i = 0; i < steps; ++i) {
      step();
      unsigned holders = 0;
      for (lease_box& it : boxes_) {
        if (is_running(it) && it.lease->valid(*it.instance, clock_of(it)))
          ++holders;
      }
      steps_with_lease_ += holders > 0 ? 1 : 0;
      conflicts += holders > 1 ? 1 : 0;
    }
    return conflicts;
  }
  unsigned steps_with_lease() const { return steps_with_lease_; }

 private:
  static std::string name(unsigned i) { return str_cat("b", i); }

  void start(unsigned i) {
    raft_settings settings;
    settings.self = box_id(name(i));
    settings.identity = "founder";
    settings.election_ticks = election_ticks;
    settings.delay_first_vote = options_.delay_first_vote;
    boxes_[i].instance =
        std::make_unique<raft>(settings, random_, boxes_[i].disk);
    boxes_[i].lease = std::make_unique<leader_lease>(lease_time);
  }

  bool is_running(const lease_box& it) const {
    return now_ >= it.suspended_until;
  }
  time_point clock_of(const lease_box& it) const {
    return options_.clock_counts_suspension ? now_ : now_ - it.suspended;
  }

  void suspend_random_box() {
    lease_box& it = boxes_[random_.below(box_count)];
    if (!is_running(it)) return;
    const milliseconds n = tick * static_cast<int64_t>(10 + random_.below(50));
    it.suspended_until = now_ + n;
    it.suspended += n;
  }

  void process_actions(unsigned i) {
    lease_box& box = boxes_[i];
    for (;;) {
      raft_actions actions = box.instance->take_actions();
      for (auto& m : actions.messages) {
        const unsigned to = static_cast<unsigned>(m.to()[1] - '0');
        if (!cut_links_[i][to]) network_.push_back(m);
      }
      if (!actions.persist) return;
      if (actions.persist->hard) box.disk.hard = *actions.persist->hard;
      for (const proto::log_entry& it : actions.persist->entries) {
        box.disk.entries.resize(it.index() - 1);
        box.disk.entries.push_back(it);
      }
      box.instance->persisted();
    }
  }

  void step() {
    now_ += tick;
    const uint64_t dice = random_.below(100);
    if (dice < 5) start(static_cast<unsigned>(random_.below(box_count)));
    if (dice >= 5 && dice < 13) {
      cut_links_[random_.below(box_count)][random_.below(box_count)] = true;
    }
    if (dice >= 13 && dice < 20) {
      for (auto& row : cut_links_) std::fill(row.begin(), row.end(), false);
    }
    if (options_.suspends && dice >= 20 && dice < 26) suspend_random_box();
    // A box does not tick in the step in which it resumes, because it may
    // decide before its first tick.
    for (unsigned i = 0; i < box_count; ++i) {
      if (now_ <= boxes_[i].suspended_until) continue;
      boxes_[i].lease->before_tick(clock_of(boxes_[i]));
      boxes_[i].instance->tick();
      boxes_[i].lease->after_tick(*boxes_[i].instance);
      process_actions(i);
    }
    for (unsigned n = 0; n < 60 && !network_.empty(); ++n) {
      const proto::raft_message m = network_.front();
      network_.pop_front();
      const unsigned to = static_cast<unsigned>(m.to()[1] - '0');
      if (now_ <= boxes_[to].suspended_until) continue;
      boxes_[to].instance->step(m);
      process_actions(to);
    }
    network_.clear();
  }

  seeded_random random_;
  lease_options options_;
  proto::membership founding_;
  lease_box boxes_[box_count];
  std::vector<std::vector<bool>> cut_links_{
      box_count, std::vector<bool>(box_count, false)};
  std::deque<proto::raft_message> network_;
  time_point now_{10'000};
  unsigned steps_with_lease_ = 0;
};

}  // namespace

TEST_GROUP(leader_lease){};

TEST(leader_lease, at_most_one_box_holds_the_lease) {
  unsigned steps_with_lease = 0;
  for (uint64_t seed = 1; seed <= 300; ++seed) {
    lease_run run(seed, {});
    LONGS_EQUAL_TEXT(0, run.run(400), str_cat("seed ", seed).c_str());
    steps_with_lease += run.steps_with_lease();
  }
  CHECK_TRUE(steps_with_lease > 300 * 100);
}

TEST(leader_lease, two_boxes_may_hold_it_without_the_vote_delay_on_start) {
  unsigned conflicts = 0;
  for (uint64_t seed = 1; seed <= 3'000 && conflicts == 0; ++seed) {
    conflicts += lease_run(seed, {.delay_first_vote = false}).run(400);
  }
  CHECK_TRUE(conflicts > 0);
}

TEST(leader_lease, at_most_one_box_holds_it_while_boxes_are_suspended) {
  unsigned steps_with_lease = 0;
  for (uint64_t seed = 1; seed <= 300; ++seed) {
    lease_run run(seed, {.suspends = true});
    LONGS_EQUAL_TEXT(0, run.run(400), str_cat("seed ", seed).c_str());
    steps_with_lease += run.steps_with_lease();
  }
  CHECK_TRUE(steps_with_lease > 300 * 50);
}

// A steady clock that stops during a suspension makes an old lease look valid.
TEST(leader_lease, two_may_hold_it_when_the_clock_stops_in_suspensions) {
  const lease_options options{.suspends = true,
                              .clock_counts_suspension = false};
  unsigned conflicts = 0;
  for (uint64_t seed = 1; seed <= 300 && conflicts == 0; ++seed) {
    conflicts += lease_run(seed, options).run(400);
  }
  CHECK_TRUE(conflicts > 0);
}

namespace {

/// Three replicas with leases; the test delivers the messages.
class lease_trio {
 public:
  explicit lease_trio(uint64_t seed) : random_(seed) {
    raft_state state;
    for (unsigned i = 0; i < box_count; ++i) {
      proto::replica& voter = *state.founding.add_voters();
      voter.set_box(str_cat("b", i));
      voter.set_identity("founder");
    }
    for (unsigned i = 0; i < box_count; ++i) {
      raft_settings settings;
      settings.self = box_id(str_cat("b", i));
      settings.identity = "founder";
      settings.election_ticks = election_ticks;
      replicas_.push_back(std::make_unique<raft>(settings, random_, state));
      leases_.emplace_back(lease_time);
    }
  }

  raft& at(unsigned i) { return *replicas_[i]; }
  bool holds_lease(unsigned i) { return leases_[i].valid(at(i), now_); }
  /// Lets 100 ms pass, with ticks of these replicas.
  void tick_all(std::initializer_list<unsigned> boxes) {
    now_ += tick;
    for (const unsigned i : boxes) {
      leases_[i].before_tick(now_);
      at(i).tick();
      leases_[i].after_tick(at(i));
      send(i);
    }
  }
  /// Delivers what is on its way from one replica to another.
  void deliver(unsigned from, unsigned to) {
    std::vector<proto::raft_message> due;
    std::erase_if(sent_, [&](const proto::raft_message& m) {
      const bool matches =
          m.from() == str_cat("b", from) && m.to() == str_cat("b", to);
      if (matches) due.push_back(m);
      return matches;
    });
    for (const auto& m : due) at(to).step(m);
    send(to);
  }
  /// Delivers between two replicas until nothing is on its way.
  void exchange(unsigned a, unsigned b) {
    for (int i = 0; i < 10; ++i) {
      deliver(a, b);
      deliver(b, a);
    }
  }

 private:
  void send(unsigned i) {
    for (int n = 0; n < 5; ++n) {
      raft_actions actions = at(i).take_actions();
      for (auto& m : actions.messages) sent_.push_back(std::move(m));
      if (actions.persist) at(i).persisted();
    }
  }

  seeded_random random_;
  std::vector<std::unique_ptr<raft>> replicas_;
  std::vector<leader_lease> leases_;
  std::vector<proto::raft_message> sent_;
  time_point now_{10'000};
};

/// Makes b1 the leader, suspends it until b0 has asked the candidate b2 for a
/// pre-vote, and lets b0 answer it again while what b2 sends b0 is delayed.
void answer_leader_while_a_refusal_is_on_its_way(lease_trio& boxes) {
  while (boxes.at(1).role() != raft_role::leader) {
    boxes.tick_all({1});
    boxes.exchange(1, 0);
    boxes.exchange(1, 2);
  }
  while (boxes.at(2).role() != raft_role::pre_candidate ||
         boxes.at(0).role() != raft_role::pre_candidate) {
    boxes.tick_all({0, 2});
  }
  boxes.deliver(2, 0);
  boxes.deliver(0, 2);
  for (int i = 0; i < 6; ++i) boxes.tick_all({0, 2});
  while (!boxes.holds_lease(1)) {
    boxes.tick_all({0, 1, 2});
    boxes.exchange(1, 0);
  }
}

}  // namespace

// A voter that had just answered the leader learned of a later term from the
// refusal of a pre-vote that it had asked for before, and forgot the leader: it
// voted at once, while the leader still held the lease.
TEST(leader_lease, refused_pre_vote_comes_after_the_leader_was_answered) {
  unsigned elected = 0;
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    lease_trio boxes(seed);
    answer_leader_while_a_refusal_is_on_its_way(boxes);
    for (int i = 0; i < 30; ++i) {
      boxes.exchange(0, 2);
      CHECK_FALSE_TEXT(boxes.holds_lease(1) && boxes.holds_lease(2),
                       str_cat("seed ", seed, ", tick ", i).c_str());
      boxes.tick_all({0, 1, 2});
    }
    elected += boxes.at(2).role() == raft_role::leader ? 1 : 0;
  }
  CHECK_TRUE(elected > 0);
}

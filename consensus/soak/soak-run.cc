#include "consensus/soak/soak-run.h"

#include <algorithm>
#include <exception>
#include <utility>

#include "base/text.h"
#include "consensus/quorum.h"
#include "consensus/soak/soak-box.h"

namespace kestrelreel {
namespace detail {

constexpr size_t max_messages = 400;
constexpr unsigned recovery_steps = 6'000;

/// One seeded run.
class soak final : public soak_observer {
 public:
  explicit soak(const soak_options& options)
      : options_(options), random_(options.seed * 7919 + 1) {
    std::vector<std::string> names;
    for (unsigned i = 0; i < options_.replicas; ++i) {
      names.push_back(str_cat("b", i));
    }
    for (const std::string& it : names) {
      boxes_.push_back(
          std::make_unique<soak_box>(it, names, options_, random_, *this));
    }
    for (auto& it : boxes_) it->start(true);
  }

  soak_report run() {
    for (unsigned i = 0; i < options_.steps && no_violation(); ++i) {
      report_.step = i;
      random_step();
      check_leaders();
    }
    if (no_violation()) recover();
    report_.committed = committed_.size();
    report_.acknowledged = acknowledged_.size();
    for (auto& it : boxes_) report_.snapshots += it->snapshots();
    return report_;
  }

  void sent(const proto::raft_message& m) override {
    if (cut_links_.contains({m.from(), m.to()})) return;
    if (network_.size() >= max_messages) return;
    network_.push_back(m);
  }

  void applied(const std::string& box, const proto::log_entry& entry) override {
    const auto [it, inserted] = committed_.try_emplace(entry.index(), entry);
    const bool same = it->second.term() == entry.term() &&
                      it->second.payload() == entry.payload();
    if (!same) fail(str_cat(box, " applied a different entry ", entry.index()));
  }

  void installed(const std::string& box, uint64_t index,
                 const std::vector<std::string>& state) override {
    std::vector<std::string> expected;
    for (const auto& [at, entry] : committed_) {
      if (at > index) break;
      if (entry.kind() != proto::entry_command) continue;
      expected.push_back(entry.payload());
    }
    if (state != expected) {
      fail(str_cat(box, " installed a different state at ", index));
    }
  }

 private:
  bool no_violation() const { return report_.violation.empty(); }
  void fail(std::string text) {
    if (no_violation()) report_.violation = std::move(text);
  }

  soak_box& random_box() { return *boxes_[random_.below(boxes_.size())]; }

  void random_step() {
    const uint64_t dice = random_.below(1'000);
    if (dice < 480) return deliver();
    if (dice < 700) return tick_random_box();
    if (dice < 850) return run_disk_if_up(random_box());
    if (dice < 940) return propose();
    if (dice < 945) return crash_random_box();
    if (dice < 970) return start_random_box();
    if (dice < 972) return wipe_random_folder();
    if (dice < 976) return cut_link();
    if (dice < 996) return heal_link();
    transfer_or_contest_leadership();
  }

  void tick_random_box() {
    soak_box& it = random_box();
    if (it.up()) it.instance().tick();
  }

  void run_disk_if_up(soak_box& it) {
    if (it.up()) it.run_disk();
  }

  /// Delivers a random message in flight; some are lost, some duplicated.
  void deliver() {
    if (network_.empty()) return;
    const size_t i = random_.below(network_.size());
    const proto::raft_message m = network_[i];
    const bool repeat = random_.below(20) == 0;
    if (!repeat) {
      network_[i] = std::move(network_.back());
      network_.pop_back();
    }
    if (random_.below(12) == 0) return;
    dispatch(m);
  }

  void dispatch(const proto::raft_message& m) {
    if (cut_links_.contains({m.from(), m.to()})) return;
    for (auto& it : boxes_) {
      if (it->box() == m.to() && it->up()) it->instance().receive(m);
    }
  }

  soak_box* leader() {
    soak_box* best = nullptr;
    for (auto& it : boxes_) {
      if (!it->up()) continue;
      const raft& r = it->instance().state();
      if (r.role() != raft_role::leader) continue;
      if (best == nullptr || r.term() > best->instance().state().term()) {
        best = it.get();
      }
    }
    return best;
  }

  void propose() {
    soak_box* it = leader();
    if (it == nullptr) return;
    const std::string text = str_cat("c", ++proposals_);
    if (it->instance().propose(text).ok()) record_acknowledged();
  }

  /// Counts commands as acknowledged once the leader has applied them, which is
  /// when a leader answers its callers.
  void record_acknowledged() {
    const soak_box* it = leader();
    if (it == nullptr) return;
    for (size_t i = acknowledged_count_; i < it->state().size(); ++i) {
      acknowledged_.insert(it->state()[i]);
    }
    acknowledged_count_ = std::max(acknowledged_count_, it->state().size());
  }

  void crash_random_box() {
    soak_box& it = random_box();
    if (!it.up()) return;
    it.crash();
    ++report_.crashes;
  }

  void start_random_box() {
    soak_box& it = random_box();
    if (!it.up()) start(it);
  }

  void start(soak_box& it) {
    it.start(false);
    const uint64_t index = it.applied_index();
    if (options_.fault == injected_fault::none &&
        index < it.highest_applied()) {
      fail(str_cat(it.box(), " starts at ", index,
                   ", below its highest applied index ", it.highest_applied()));
    }
  }

  /// Wipes a data folder, but only while all boxes are up and are voters, so
  /// that the record survives.
  void wipe_random_folder() {
    soak_box& it = random_box();
    for (auto& member : boxes_) {
      if (!member->up() || !knows_all_voters(*member)) return;
    }
    if (it.up()) it.crash();
    it.wipe();
    it.start(false);
    ++report_.wipes;
  }

  /// True when, by that box's log, every box is a voter with its current data
  /// folder.
  bool knows_all_voters(soak_box& member) const {
    const proto::membership& members = member.instance().state().members();
    for (const auto& it : boxes_) {
      if (!is_voter(members, it->box(), it->identity())) return false;
    }
    return true;
  }

  size_t index_of(const std::string& box) const {
    for (size_t i = 0; i < boxes_.size(); ++i) {
      if (boxes_[i]->box() == box) return i;
    }
    return 0;
  }

  void cut_link() {
    const soak_box& a = random_box();
    const soak_box& b = random_box();
    if (&a != &b) cut_links_.insert({a.box(), b.box()});
  }

  void heal_link() {
    if (!cut_links_.empty()) cut_links_.erase(cut_links_.begin());
  }

  /// Transfers leadership, or lets two other replicas contest the next term.
  void transfer_or_contest_leadership() {
    soak_box* it = leader();
    if (it == nullptr) return;
    if (random_.below(2) == 0) return it->instance().transfer_leadership();
    contest_term(*it);
  }

  /// Two replicas become candidates in one term, and the third crashes between
  /// their vote requests. The production code doesn't produce this case,
  /// because a leader steps down when it transfers its leadership; the vote
  /// must be durable all the same.
  void contest_term(soak_box& old) {
    std::vector<soak_box*> others;
    const uint64_t last = old.instance().state().log().last_index();
    for (auto& it : boxes_) {
      if (it.get() == &old || !it->up()) continue;
      // A candidate that lacks an entry would get no vote.
      if (it->instance().state().log().last_index() != last) continue;
      others.push_back(it.get());
    }
    if (others.size() < 2 || !cut_links_.empty()) return;
    for (soak_box* it : others) start_candidacy(old, *it);
    request_vote(*others[0], old);
    old.crash();
    ++report_.crashes;
    old.start(false);
    request_vote(*others[1], old);
  }

  void start_candidacy(const soak_box& old, soak_box& it) {
    proto::raft_message m;
    m.set_kind(proto::raft_timeout_now);
    m.set_from(old.box());
    m.set_from_identity(old.identity());
    m.set_to(it.box());
    m.set_term(old.instance().state().term());
    it.instance().receive(m);
    finish_writes(it);
  }

  void request_vote(soak_box& candidate, soak_box& voter) {
    deliver_between(candidate, voter, proto::raft_vote);
    finish_writes(voter);
    deliver_between(voter, candidate, proto::raft_vote_reply);
    finish_writes(candidate);
    check_leaders();
  }

  static void finish_writes(soak_box& it) {
    while (it.up() && it.has_writes()) it.run_disk();
  }

  void deliver_between(const soak_box& from, const soak_box& to,
                       proto::raft_kind kind) {
    std::vector<proto::raft_message> found;
    std::erase_if(network_, [&](const proto::raft_message& m) {
      const bool match =
          m.from() == from.box() && m.to() == to.box() && m.kind() == kind;
      if (match) found.push_back(m);
      return match;
    });
    for (const proto::raft_message& m : found) dispatch(m);
  }

  void check_leaders() {
    record_acknowledged();
    for (auto& it : boxes_) {
      if (!it->up()) continue;
      const raft& r = it->instance().state();
      if (r.role() != raft_role::leader) continue;
      const auto [leader_of_term, inserted] =
          leaders_.try_emplace(r.term(), it->box());
      if (inserted) ++report_.elections;
      if (leader_of_term->second != it->box()) {
        fail(str_cat("two leaders in term ", r.term()));
      }
    }
  }

  /// Ends all faults. The replicas must then agree, hold every acknowledged
  /// command and accept a new command.
  void recover() {
    cut_links_.clear();
    for (auto& it : boxes_) {
      if (!it->up()) start(*it);
    }
    for (unsigned i = 0; i < recovery_steps && no_violation(); ++i) {
      for (auto& it : boxes_) it->run_disk();
      if (i % 12 == 0) {
        for (auto& it : boxes_) it->instance().tick();
      }
      for (size_t n = network_.size(); n > 0; --n) {
        const proto::raft_message m = network_.front();
        network_.erase(network_.begin());
        dispatch(m);
      }
      check_leaders();
      if (i % 600 == 599) propose();
      if (i > recovery_steps / 3 && i % 600 == 300 && have_converged()) break;
    }
    if (no_violation()) check_end();
  }

  bool have_converged() {
    for (auto& it : boxes_) {
      if (it->applied_index() != boxes_[0]->applied_index()) return false;
    }
    const soak_box* it = leader();
    return it != nullptr && full_membership() && holds_last_command();
  }

  bool full_membership() {
    const soak_box* it = leader();
    const auto& members =
        boxes_[index_of(it->box())]->instance().state().members();
    return members.voters_size() == static_cast<int>(boxes_.size());
  }

  bool holds_last_command() const {
    const auto& state = boxes_[0]->state();
    return !state.empty() && state.back() == str_cat("c", proposals_);
  }

  /// Summary of each replica, for failure texts.
  std::string describe() {
    std::string out;
    for (auto& it : boxes_) {
      const raft& r = it->instance().state();
      str_append(out, " ", it->box(), "(", it->identity(), ") ",
                 to_string(r.role()), " term ", r.term(), " commit ",
                 r.commit_index(), " applied ", it->applied_index(), " last ",
                 r.log().last_index(), " members ",
                 r.members().ShortDebugString(), ";");
    }
    return out;
  }

  void check_end() {
    if (!have_converged()) {
      return fail("the replicas do not agree after all faults ended:" +
                  describe());
    }
    const auto& state = boxes_[0]->state();
    const std::set<std::string> held(state.begin(), state.end());
    for (const std::string& it : acknowledged_) {
      if (!held.contains(it)) return fail(str_cat("lost ", it));
    }
    for (auto& it : boxes_) {
      if (it->state() != state) return fail("states differ at the end");
    }
  }

  soak_options options_;
  seeded_random random_;
  std::vector<std::unique_ptr<soak_box>> boxes_;
  std::vector<proto::raft_message> network_;
  std::set<std::pair<std::string, std::string>> cut_links_;
  std::map<uint64_t, proto::log_entry> committed_;
  std::map<uint64_t, std::string> leaders_;
  std::set<std::string> acknowledged_;
  size_t acknowledged_count_ = 0;
  uint64_t proposals_ = 0;
  soak_report report_;
};

}  // namespace detail

soak_report run_soak(const soak_options& options) {
  try {
    return detail::soak(options).run();
  } catch (const std::exception& error) {
    soak_report report;
    report.violation = str_cat("the code threw: ", error.what());
    return report;
  }
}

}  // namespace kestrelreel

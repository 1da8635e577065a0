#include "consensus/raft.h"

#include <algorithm>
#include <utility>

#include "consensus/quorum.h"

namespace kestrelreel {

const char* to_string(raft_role role) {
  switch (role) {
    case raft_role::follower:
      return "follower";
    case raft_role::pre_candidate:
      return "pre-candidate";
    case raft_role::candidate:
      return "candidate";
    case raft_role::leader:
      return "leader";
  }
  return "follower";
}

raft::raft(raft_settings settings, random_source& random, raft_state state)
    : settings_(std::move(settings)),
      random_(random),
      log_(state.snapshot),
      founding_(std::move(state.founding)),
      term_(state.hard.term()),
      voted_for_(state.hard.voted_for()) {
  if (state.snapshot) {
    memberships_[state.snapshot->index()] = state.snapshot->members();
    snapshot_to_install_ = state.snapshot;
  }
  commit_ = applied_ = log_.snapshot_index();
  for (proto::log_entry& it : state.entries) {
    track_membership(it);
    log_.append(std::move(it));
  }
  persisted_ = log_.last_index();
  commit_ = std::clamp(state.hard.commit(), commit_, persisted_);
  submitted_commit_ = durable_commit_ = commit_;
  unstable_from_ = persisted_ + 1;
  if (settings_.delay_first_vote && term_ > 0) {
    vote_delay_ticks_ = settings_.election_ticks;
  }
  reset_timeout();
}

const proto::membership& raft::members() const {
  if (memberships_.empty()) return founding_;
  return memberships_.rbegin()->second;
}

bool raft::is_self_voter() const {
  return is_voter(members(), settings_.self.str(), settings_.identity);
}

void raft::reset_timeout() {
  elapsed_ticks_ = 0;
  timeout_ticks_ =
      settings_.election_ticks +
      static_cast<unsigned>(random_.below(settings_.election_ticks));
}

proto::raft_message raft::make_message(proto::raft_kind kind,
                                       const std::string& to) const {
  proto::raft_message m;
  m.set_kind(kind);
  m.set_from(settings_.self.str());
  m.set_from_identity(settings_.identity);
  m.set_to(to);
  m.set_term(term_);
  return m;
}

void raft::assign_data_centre(const box_id& box,
                              const data_centre_id& data_centre) {
  data_centres_[box.str()] = data_centre;
}

void raft::add_replica_box(const box_id& box) {
  auto& boxes = settings_.replica_boxes;
  if (std::find(boxes.begin(), boxes.end(), box) == boxes.end()) {
    boxes.push_back(box);
  }
}

void raft::tick() {
  if (vote_delay_ticks_ > 0) --vote_delay_ticks_;
  if (role_ == raft_role::leader) return leader_tick();
  ++elapsed_ticks_;
  if (elapsed_ticks_ < timeout_ticks_) return;
  if (is_self_voter()) return start_election(true, false);
  reset_timeout();
  announce_self();
}

/// Announces this replica to the boxes with data folders, so that the leader
/// adds it as a learner. A replica that its own log lists as a learner
/// announces itself too, because a later leader may never have seen that entry.
void raft::announce_self() {
  for (const box_id& it : settings_.replica_boxes) {
    if (it == settings_.self) continue;
    outgoing_messages_.push_back(
        make_message(proto::raft_append_reply, it.str()));
  }
}

void raft::leader_tick() {
  proposed_bytes_.push_back(0);
  if (proposed_bytes_.size() > settings_.election_ticks / 2)
    proposed_bytes_.pop_front();
  for (auto& [box, it] : progress_) {
    ++it.silent_ticks;
    it.transfer.tick();
  }
  if (++elapsed_ticks_ >= settings_.election_ticks) {
    elapsed_ticks_ = 0;
    const bool quorum = has_majority(members(), [&](const auto& voter) {
      if (voter.box() == settings_.self.str()) return true;
      return progress_[voter.box()].silent_ticks <= settings_.election_ticks;
    });
    if (!quorum) return become_follower(term_, "");
  }
  repair_membership();
  if (++heartbeat_elapsed_ticks_ < settings_.heartbeat_ticks) return;
  heartbeat_elapsed_ticks_ = 0;
  ++round_;
  heartbeat_commit_ = commit_;
  broadcast(true);
}

uint64_t raft::quorum_round() const {
  if (role_ != raft_role::leader) return 0;
  return majority_index(members(), [&](const auto& voter) {
    if (voter.box() == settings_.self.str()) return round_;
    const auto it = progress_.find(voter.box());
    return it == progress_.end() ? uint64_t{0} : it->second.round;
  });
}

bool raft::is_ready_leader() const {
  return role_ == raft_role::leader && log_.term_at(applied_) == term_;
}

void raft::become_follower(uint64_t term, const std::string& leader) {
  if (term != term_) {
    term_ = term;
    voted_for_.clear();
    hard_state_dirty_ = true;
  }
  role_ = raft_role::follower;
  leader_ = leader;
  votes_.clear();
  progress_.clear();
  unknown_replicas_.clear();
  reset_timeout();
}

void raft::start_election(bool pre_vote, bool transfer) {
  leader_.clear();
  reset_timeout();
  votes_ = {settings_.self.str()};
  role_ = pre_vote ? raft_role::pre_candidate : raft_role::candidate;
  if (!pre_vote) {
    ++term_;
    voted_for_ = settings_.self.str();
    hard_state_dirty_ = true;
  }
  const auto kind = pre_vote ? proto::raft_pre_vote : proto::raft_vote;
  for (const proto::replica& voter : members().voters()) {
    if (voter.box() == settings_.self.str()) continue;
    proto::raft_message m = make_message(kind, voter.box());
    m.set_term(pre_vote ? term_ + 1 : term_);
    m.set_log_index(log_.last_index());
    m.set_log_term(log_.last_term());
    // In a vote request, `granted` marks a leadership transfer.
    m.set_granted(transfer);
    (pre_vote ? outgoing_messages_ : unsynced_messages_)
        .push_back(std::move(m));
  }
  if (majority(members()) > 1) return;
  if (pre_vote) return start_election(false, false);
  become_leader();
}

void raft::become_leader() {
  role_ = raft_role::leader;
  leader_ = settings_.self.str();
  elapsed_ticks_ = 0;
  heartbeat_elapsed_ticks_ = 0;
  round_ = 0;
  heartbeat_commit_ = commit_;
  progress_.clear();
  unknown_replicas_.clear();
  proposed_bytes_.assign(1, 0);
  refresh_progress();
  append_to_log(proto::entry_noop, "");
}

bool raft::has_recent_leader() const {
  if (role_ == raft_role::leader || vote_delay_ticks_ > 0) return true;
  return !leader_.empty() && elapsed_ticks_ < settings_.election_ticks;
}

/// Accepts a message of the leader of this term. The leader counts its lease on
/// the answer, so the vote delay holds even if this replica learns of a later
/// term that has no leader.
void raft::follow(const std::string& leader) {
  if (role_ != raft_role::follower) become_follower(term_, leader);
  leader_ = leader;
  elapsed_ticks_ = 0;
  vote_delay_ticks_ = settings_.election_ticks;
}

void raft::step(const proto::raft_message& m) {
  const bool member = is_member(members(), m.from(), m.from_identity());
  if (role_ == raft_role::leader && !member) {
    unknown_replicas_[m.from()] = m.from_identity();
    return;
  }
  const auto kind = m.kind();
  if (kind == proto::raft_pre_vote || kind == proto::raft_vote) {
    return on_vote_request(m);
  }
  if (kind == proto::raft_pre_vote_reply && m.granted()) {
    return on_vote_reply(m);
  }
  if (m.term() > term_) adopt_term(m);
  if (reject_outdated(m)) return;
  switch (kind) {
    case proto::raft_vote_reply:
      return on_vote_reply(m);
    case proto::raft_append:
      return on_append(m);
    case proto::raft_install:
      return on_install(m);
    case proto::raft_install_part:
      return on_install_part(m);
    case proto::raft_install_reply:
      return on_install_reply(m);
    case proto::raft_append_reply:
      return on_append_reply(m);
    case proto::raft_timeout_now:
      if (is_self_voter()) start_election(false, true);
      return;
    default:
      return;
  }
}

/// True for the kinds of messages that only a leader sends.
bool raft::is_from_leader(const proto::raft_message& m) {
  return m.kind() == proto::raft_append || m.kind() == proto::raft_install ||
         m.kind() == proto::raft_install_part;
}

void raft::adopt_term(const proto::raft_message& m) {
  become_follower(m.term(), is_from_leader(m) ? m.from() : "");
}

/// Returns true for a message of an older term, and tells an outdated leader
/// the current term.
bool raft::reject_outdated(const proto::raft_message& m) {
  if (m.term() == term_) return false;
  if (is_from_leader(m)) {
    unsynced_messages_.push_back(
        make_message(proto::raft_append_reply, m.from()));
  }
  return true;
}

bool raft::may_vote_for(const proto::raft_message& m) const {
  if (!log_.is_up_to_date(m.log_index(), m.log_term())) return false;
  if (m.kind() == proto::raft_pre_vote) return m.term() > term_;
  if (m.term() < term_) return false;
  return voted_for_.empty() || voted_for_ == m.from();
}

void raft::on_vote_request(const proto::raft_message& m) {
  const bool pre_vote = m.kind() == proto::raft_pre_vote;
  const bool transfer = m.granted();
  if (has_recent_leader() && !transfer && m.term() >= term_) return;
  if (!pre_vote && m.term() > term_) become_follower(m.term(), "");
  const bool granted = may_vote_for(m);
  const auto kind =
      pre_vote ? proto::raft_pre_vote_reply : proto::raft_vote_reply;
  proto::raft_message reply = make_message(kind, m.from());
  reply.set_granted(granted);
  if (granted && pre_vote) reply.set_term(m.term());
  if (granted && !pre_vote) {
    voted_for_ = m.from();
    hard_state_dirty_ = true;
    reset_timeout();
  }
  unsynced_messages_.push_back(std::move(reply));
}

void raft::on_vote_reply(const proto::raft_message& m) {
  const bool pre_vote = m.kind() == proto::raft_pre_vote_reply;
  const auto target =
      pre_vote ? raft_role::pre_candidate : raft_role::candidate;
  if (role_ != target || !m.granted()) return;
  if (m.term() != (pre_vote ? term_ + 1 : term_)) return;
  if (!is_voter(members(), m.from(), m.from_identity())) return;
  votes_.insert(m.from());
  const bool won = has_majority(members(), [&](const auto& voter) {
    return votes_.contains(voter.box());
  });
  if (!won) return;
  if (pre_vote) return start_election(false, false);
  become_leader();
}

void raft::transfer_leadership() {
  if (role_ != raft_role::leader) return;
  std::string best;
  uint64_t best_match = 0;
  for (const proto::replica& voter : members().voters()) {
    if (voter.box() == settings_.self.str()) continue;
    const follower_progress& it = progress_[voter.box()];
    if (it.silent_ticks > settings_.election_ticks) continue;
    if (it.match() < best_match) continue;
    best = voter.box();
    best_match = it.match();
  }
  if (best.empty()) return;
  outgoing_messages_.push_back(make_message(proto::raft_timeout_now, best));
  become_follower(term_, "");
}

int raft::losses_survived() const {
  if (role_ != raft_role::leader) return -1;
  int holding = 0;
  for (const proto::replica& voter : members().voters()) {
    if (voter.box() == settings_.self.str()) {
      ++holding;
      continue;
    }
    const auto it = progress_.find(voter.box());
    if (it == progress_.end()) continue;
    const bool responsive = it->second.silent_ticks <= settings_.election_ticks;
    if (responsive && it->second.match() >= commit_) ++holding;
  }
  return holding - static_cast<int>(majority(members()));
}

}  // namespace kestrelreel

// Log replication: proposals, appends, snapshots, commits and persistence.
#include <algorithm>
#include <numeric>
#include <utility>

#include "consensus/quorum.h"
#include "consensus/raft.h"

namespace kestrelreel {

absl::StatusOr<log_index> raft::propose(std::string payload) {
  if (role_ != raft_role::leader) {
    return absl::UnavailableError("this replica does not lead");
  }
  append_to_log(proto::entry_command, std::move(payload));
  return log_index(log_.last_index());
}

absl::Status raft::propose_membership(const proto::membership& members) {
  if (role_ != raft_role::leader) {
    return absl::UnavailableError("this replica does not lead");
  }
  if (!membership_settled()) {
    return absl::FailedPreconditionError("a membership change is under way");
  }
  append_to_log(proto::entry_membership, members.SerializeAsString());
  refresh_progress();
  broadcast(true);
  return absl::OkStatus();
}

void raft::append_to_log(proto::entry_kind kind, std::string payload) {
  proto::log_entry entry;
  entry.set_index(log_.last_index() + 1);
  entry.set_term(term_);
  entry.set_kind(kind);
  entry.set_payload(std::move(payload));
  proposed_bytes_.back() += entry.ByteSizeLong();
  track_membership(entry);
  log_.append(std::move(entry));
}

void raft::track_membership(const proto::log_entry& entry) {
  if (entry.kind() != proto::entry_membership) return;
  memberships_[entry.index()].ParseFromString(entry.payload());
}

void raft::truncate_from(uint64_t index) {
  log_.truncate_from(index);
  memberships_.erase(memberships_.lower_bound(index), memberships_.end());
  unstable_from_ = std::min(unstable_from_, index);
  persisted_ = std::min(persisted_, index - 1);
  in_flight_last_index_ = std::min(in_flight_last_index_, index - 1);
}

void raft::on_append(const proto::raft_message& m) {
  follow(m.from());
  const uint64_t previous = m.log_index();
  if (previous > log_.last_index()) return reject_append(m);
  const bool covered = previous < log_.snapshot_index();
  if (!covered && log_.term_at(previous) != m.log_term()) {
    return reject_append(m);
  }
  incoming_snapshot_.reset();
  add_entries(m);
  const uint64_t n = static_cast<uint64_t>(m.entries_size());
  const uint64_t match = std::max(previous + n, log_.snapshot_index());
  commit_ = std::max(commit_, std::min(m.commit(), match));
  proto::raft_message reply = make_message(proto::raft_append_reply, m.from());
  reply.set_granted(true);
  reply.set_match(match);
  reply.set_round(m.round());
  unsynced_messages_.push_back(std::move(reply));
}

void raft::reject_append(const proto::raft_message& m) {
  uint64_t hint = std::min(m.log_index() - 1, log_.last_index());
  if (m.log_index() <= log_.last_index()) {
    const uint64_t conflicting_term = log_.term_at(m.log_index());
    while (hint > commit_ && log_.term_at(hint) == conflicting_term) --hint;
  }
  proto::raft_message reply = make_message(proto::raft_append_reply, m.from());
  reply.set_log_index(m.log_index());
  reply.set_match(hint);
  reply.set_round(m.round());
  unsynced_messages_.push_back(std::move(reply));
}

void raft::add_entries(const proto::raft_message& m) {
  for (const proto::log_entry& it : m.entries()) {
    if (it.index() <= log_.snapshot_index()) continue;
    if (it.index() <= log_.last_index()) {
      if (log_.term_at(it.index()) == it.term()) continue;
      truncate_from(it.index());
    }
    track_membership(it);
    log_.append(it);
  }
}

void raft::on_install(const proto::raft_message& m) {
  follow(m.from());
  const uint64_t index = m.snapshot().index();
  // A log that holds the snapshot's last entry also holds all earlier entries,
  // and may hold acknowledged later ones, so the log is kept.
  const bool held =
      log_.has_term(index) && log_.term_at(index) == m.snapshot().term();
  if (held) commit_ = std::max(commit_, index);
  if (index > commit_) {
    auto snapshot = std::make_shared<const proto::log_snapshot>(m.snapshot());
    log_.reset(snapshot);
    memberships_.clear();
    memberships_[index] = snapshot->members();
    commit_ = applied_ = submitted_commit_ = durable_commit_ = index;
    persisted_ = in_flight_last_index_ = index;
    unstable_from_ = index + 1;
    unsaved_snapshot_ = std::move(snapshot);
  }
  proto::raft_message reply = make_message(proto::raft_append_reply, m.from());
  reply.set_granted(true);
  reply.set_match(index);
  reply.set_round(m.round());
  unsynced_messages_.push_back(std::move(reply));
}

void raft::on_append_reply(const proto::raft_message& m) {
  if (role_ != raft_role::leader) return;
  const auto found = progress_.find(m.from());
  if (found == progress_.end()) return;
  follower_progress& it = found->second;
  it.silent_ticks = 0;
  it.round = std::max(it.round, std::min(m.round(), round_));
  if (!m.granted()) {
    if (!it.rejected(m.log_index(), m.match())) return;
    return send_append(m.from(), it, true);
  }
  it.accepted(m.match());
  const auto& snapshot = it.transfer.snapshot();
  if (snapshot && snapshot->index() <= it.match()) it.transfer = {};
  advance_commit();
  if (!waits_for_heartbeat(it)) send_append(m.from(), it, false);
}

void raft::broadcast(bool heartbeat) {
  for (auto& [box, it] : progress_) {
    if (heartbeat || !waits_for_heartbeat(it)) send_append(box, it, heartbeat);
  }
}

/// True for a learner that has caught up. No commit depends on a learner, so it
/// gets new entries with the heartbeats only; the leader's cost per entry then
/// grows with the number of voters alone.
bool raft::waits_for_heartbeat(const follower_progress& it) const {
  return it.learner && it.next() > heartbeat_commit_;
}

/// Maximum bytes in flight to one follower. The recently proposed bytes may be
/// in flight however slow the follower's disk is; `settings_.window_bytes`
/// keeps a fast follower busy.
size_t raft::window_bytes() const {
  const size_t recent = std::accumulate(proposed_bytes_.begin(),
                                        proposed_bytes_.end(), size_t{0});
  return std::max(settings_.window_bytes, recent);
}

/// True when the window allows sending more entries to the follower.
bool raft::can_send_entries(const follower_progress& it) const {
  return !it.probing() && it.next() <= log_.last_index() &&
         it.next() - it.match() <= settings_.window_entries &&
         it.bytes_in_flight() < window_bytes();
}

void raft::send_commit() {
  for (auto& [box, it] : progress_) {
    if (!it.learner) send_append(box, it, true);
  }
}

void raft::send_append(const std::string& box, follower_progress& it,
                       bool heartbeat) {
  const uint64_t previous = it.next() - 1;
  if (!log_.has_term(previous)) return send_install(box, it, heartbeat);
  const bool more = can_send_entries(it);
  if (!more && !heartbeat) return;
  proto::raft_message m = make_message(proto::raft_append, box);
  m.set_log_index(previous);
  m.set_log_term(log_.term_at(previous));
  m.set_commit(commit_);
  m.set_round(round_);
  if (more) {
    for (auto& entry : log_.slice(it.next(), settings_.batch_bytes)) {
      *m.add_entries() = std::move(entry);
    }
    it.sent(static_cast<uint64_t>(m.entries_size()), m.ByteSizeLong());
  }
  outgoing_messages_.push_back(std::move(m));
}

void raft::advance_commit() {
  const uint64_t index = majority_index(members(), [&](const auto& voter) {
    if (voter.box() == settings_.self.str()) return persisted_;
    const auto it = progress_.find(voter.box());
    return it == progress_.end() ? uint64_t{0} : it->second.match();
  });
  if (index <= commit_ || log_.term_at(index) != term_) return;
  commit_ = index;
  send_commit();
}

std::optional<persist_batch> raft::next_batch() {
  const bool entries = unstable_from_ <= log_.last_index();
  const bool commit = commit_ > submitted_commit_;
  if (!hard_state_dirty_ && !entries && !commit && !unsaved_snapshot_) {
    return std::nullopt;
  }
  persist_batch batch;
  if (hard_state_dirty_ || commit) {
    submitted_commit_ = commit_;
    batch.hard.emplace();
    batch.hard->set_term(term_);
    batch.hard->set_voted_for(voted_for_);
    batch.hard->set_commit(commit_);
    hard_state_dirty_ = false;
  }
  batch.snapshot = std::move(unsaved_snapshot_);
  unsaved_snapshot_ = nullptr;
  in_flight_snapshot_ = batch.snapshot;
  for (uint64_t i = unstable_from_; i <= log_.last_index(); ++i) {
    batch.entries.push_back(log_.at(i));
  }
  unstable_from_ = log_.last_index() + 1;
  in_flight_last_index_ = log_.last_index();
  write_in_flight_ = true;
  in_flight_messages_ = std::move(unsynced_messages_);
  unsynced_messages_.clear();
  return batch;
}

raft_actions raft::take_actions() {
  raft_actions actions;
  if (role_ == raft_role::leader) broadcast(false);
  if (!write_in_flight_) {
    actions.persist = next_batch();
    if (!actions.persist) {
      std::move(unsynced_messages_.begin(), unsynced_messages_.end(),
                std::back_inserter(outgoing_messages_));
      unsynced_messages_.clear();
    }
  }
  actions.messages = std::move(outgoing_messages_);
  outgoing_messages_.clear();
  actions.install = std::move(snapshot_to_install_);
  snapshot_to_install_ = nullptr;
  const uint64_t limit = std::min(durable_commit_, persisted_);
  while (applied_ < limit) actions.committed.push_back(log_.at(++applied_));
  return actions;
}

void raft::persisted() {
  write_in_flight_ = false;
  persisted_ = std::max(persisted_, in_flight_last_index_);
  durable_commit_ = submitted_commit_;
  if (in_flight_snapshot_)
    snapshot_to_install_ = std::move(in_flight_snapshot_);
  in_flight_snapshot_ = nullptr;
  std::move(in_flight_messages_.begin(), in_flight_messages_.end(),
            std::back_inserter(outgoing_messages_));
  in_flight_messages_.clear();
  if (role_ == raft_role::leader) advance_commit();
}

const proto::membership& raft::members_at(uint64_t index) const {
  const auto it = memberships_.upper_bound(index);
  if (it == memberships_.begin()) return founding_;
  return std::prev(it)->second;
}

std::shared_ptr<const proto::log_snapshot> raft::make_snapshot(
    std::string data) const {
  auto snapshot = std::make_shared<proto::log_snapshot>();
  snapshot->set_index(applied_);
  snapshot->set_term(log_.term_at(applied_));
  *snapshot->mutable_members() = members_at(applied_);
  snapshot->set_data(std::move(data));
  return snapshot;
}

void raft::compact(std::shared_ptr<const proto::log_snapshot> snapshot) {
  const uint64_t index = snapshot->index();
  if (index <= log_.snapshot_index() || index > applied_) return;
  memberships_.erase(memberships_.begin(), memberships_.upper_bound(index));
  memberships_[index] = snapshot->members();
  log_.compact(std::move(snapshot));
}

}  // namespace kestrelreel

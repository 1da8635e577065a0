// Sends the leader's snapshot to a follower that needs entries which the log no
// longer holds. The snapshot goes in parts, a few at a time, so that other
// messages on the same connection don't wait for the whole state.
#include <algorithm>
#include <utility>

#include "consensus/raft.h"

namespace kestrelreel {

/// Sends snapshot parts as far as the window allows. With `heartbeat`, sends at
/// least an empty part, which asks how much the follower holds.
void raft::send_install(const std::string& box, follower_progress& it,
                        bool heartbeat) {
  snapshot_transfer& transfer = it.transfer;
  transfer.prepare(log_.snapshot(), settings_.election_ticks);
  const std::string& data = transfer.snapshot()->data();
  const size_t end =
      std::min(transfer.acknowledged() + settings_.window_bytes, data.size());
  while (transfer.sent() < end) {
    const size_t n =
        std::min(settings_.batch_bytes, data.size() - transfer.sent());
    send_part(box, transfer, data.substr(transfer.sent(), n));
    transfer.part_sent(n);
    heartbeat = false;
  }
  if (heartbeat) send_part(box, transfer, "");
}

void raft::send_part(const std::string& box, const snapshot_transfer& transfer,
                     std::string data) {
  proto::raft_message m = make_message(proto::raft_install_part, box);
  const proto::log_snapshot& whole = *transfer.snapshot();
  m.mutable_snapshot()->set_index(whole.index());
  m.mutable_snapshot()->set_term(whole.term());
  *m.mutable_snapshot()->mutable_members() = whole.members();
  m.mutable_snapshot()->set_data(std::move(data));
  m.set_offset(transfer.sent());
  m.set_round(round_);
  m.set_total(whole.data().size());
  outgoing_messages_.push_back(std::move(m));
}

/// Handles a part of the leader's snapshot; the last part installs the
/// snapshot.
void raft::on_install_part(const proto::raft_message& m) {
  follow(m.from());
  const proto::log_snapshot& part = m.snapshot();
  const bool already_covered =
      part.index() <= commit_ || (log_.has_term(part.index()) &&
                                  log_.term_at(part.index()) == part.term());
  if (already_covered) return on_install(m);
  const bool same_snapshot = incoming_snapshot_ && incoming_term_ == m.term() &&
                             incoming_snapshot_->index() == part.index() &&
                             incoming_snapshot_->term() == part.term();
  if (!same_snapshot) {
    incoming_snapshot_ = std::make_unique<proto::log_snapshot>(part);
    incoming_snapshot_->clear_data();
    incoming_term_ = m.term();
  }
  std::string& data = *incoming_snapshot_->mutable_data();
  if (m.offset() == data.size()) data += part.data();
  if (data.size() < m.total()) {
    proto::raft_message reply =
        make_message(proto::raft_install_reply, m.from());
    reply.set_match(part.index());
    reply.set_offset(data.size());
    reply.set_round(m.round());
    outgoing_messages_.push_back(std::move(reply));
    return;
  }
  proto::raft_message whole = m;
  *whole.mutable_snapshot() = std::move(*incoming_snapshot_);
  incoming_snapshot_.reset();
  on_install(whole);
}

void raft::on_install_reply(const proto::raft_message& m) {
  if (role_ != raft_role::leader) return;
  const auto found = progress_.find(m.from());
  if (found == progress_.end()) return;
  follower_progress& it = found->second;
  it.silent_ticks = 0;
  it.round = std::max(it.round, std::min(m.round(), round_));
  const auto& snapshot = it.transfer.snapshot();
  if (!snapshot || snapshot->index() != m.match()) return;
  it.transfer.acknowledge(m.offset());
  send_install(m.from(), it, false);
}

}  // namespace kestrelreel

// One replica of the log as a pure state machine: messages, ticks and disk
// completions go in, actions come out. No input or output happens inside.
// The protocol is Raft (Ongaro and Ousterhout, 2014) with pre-vote, check
// quorum, leadership transfer, learners and single-step membership changes;
// docs/design/record.md says why.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "base/clock.h"
#include "base/ids.h"
#include "consensus/follower-progress.h"
#include "consensus/raft-log.h"
#include "proto/consensus.pb.h"

namespace kestrelreel {

/// What a replica is doing.
enum class raft_role { follower, pre_candidate, candidate, leader };

/// The role as logs and the status show it.
const char* to_string(raft_role role);

/// Fixed properties of a replica.
struct raft_settings {
  box_id self;
  /// Identity of the data folder; changes when the folder was lost.
  std::string identity;
  /// Least ticks without a leader before an election; the most is twice this.
  unsigned election_ticks = 10;
  unsigned heartbeat_ticks = 2;
  /// Entries of one append message, or a part of a snapshot, in bytes.
  size_t batch_bytes = 64 << 10;
  /// What may be sent ahead of the follower's acknowledgement, in bytes (or as
  /// much as came up within half of an election time, if that is more) and in
  /// entries. What else goes to its box waits behind that: 10 ms on a link of
  /// 200 Mbit/s, which carries 32 MB/s so with a way and a sync of 8 ms.
  size_t window_bytes = 256 << 10;
  uint64_t window_entries = 4096;
  /// Boxes that have a data folder; a replica without members tells them that
  /// it exists.
  std::vector<box_id> replica_boxes;
  /// Voters that the cluster should have. While so many answer, learners stay
  /// learners; a voter that falls silent while there are more leaves for good.
  /// 0 bounds nothing and never removes one.
  unsigned target_voters = 0;
  /// A replica that starts votes for nobody for the least election time, as it
  /// has forgotten which leader it answered. Only tests turn it off.
  bool delay_first_vote = true;
  /// Ticks that a leader's write may take before it hands the leadership on;
  /// 0 waits for ever.
  unsigned slow_write_ticks = 0;
  /// Ticks of silence after which a surplus voter leaves.
  unsigned silent_ticks = 20;
};

/// What a replica finds on its disk when it starts.
struct raft_state {
  proto::hard_state hard;
  std::shared_ptr<const proto::log_snapshot> snapshot;
  std::vector<proto::log_entry> entries;
  /// Members before any snapshot or membership entry.
  proto::membership founding;
};

/// What must be on the disk before `raft::persisted` is called.
struct persist_batch {
  std::optional<proto::hard_state> hard;
  /// Replaces the whole log.
  std::shared_ptr<const proto::log_snapshot> snapshot;
  /// An entry replaces the one at its index and all after that.
  std::vector<proto::log_entry> entries;
};

/// What the owner of a replica has to do next.
struct raft_actions {
  std::vector<proto::raft_message> messages;
  std::optional<persist_batch> persist;
  /// To be installed before `committed` is applied.
  std::shared_ptr<const proto::log_snapshot> install;
  std::vector<proto::log_entry> committed;
};

/// A replica. Not thread-safe.
class raft {
 public:
  raft(raft_settings settings, random_source& random, raft_state state);

  /// One step of the replica's clock.
  void tick();
  /// A message of another replica. Messages may be lost, repeated or late.
  void step(const proto::raft_message& m);
  /// Adds a command; `Unavailable` unless this replica leads.
  absl::StatusOr<log_index> propose(std::string payload);
  /// Adds a membership that differs by one replica from the current one;
  /// `Unavailable` unless this replica leads, `FailedPrecondition` while an
  /// earlier change is not committed.
  absl::Status propose_membership(const proto::membership& members);
  /// Hands leadership to the voter that has most of the log, if it leads, and
  /// stops leading at once: a hand-over that arrives late may take effect
  /// whenever it likes.
  void transfer_leadership();
  /// Boxes that may hold a replica, beside those of the settings.
  void add_replica_box(const box_id& box);
  /// Where a box stands: voters are spread over the data centres.
  void assign_data_centre(const box_id& box, const data_centre_id& place);
  /// Takes the actions that have come up. At most one batch is out at a time.
  raft_actions take_actions();
  /// The last batch taken is on the disk.
  void persisted();
  /// A snapshot of what `take` has handed out for applying so far; `data` is
  /// the owner's state after that.
  std::shared_ptr<const proto::log_snapshot> make_snapshot(
      std::string data) const;
  /// The snapshot is saved; the entries that it covers may go.
  void compact(std::shared_ptr<const proto::log_snapshot> snapshot);

  raft_role role() const { return role_; }
  uint64_t term() const { return term_; }
  uint64_t commit_index() const { return commit_; }
  uint64_t applied_index() const { return applied_; }
  /// The leader of this term, if known.
  const std::string& leader() const { return leader_; }
  const proto::membership& members() const;
  const raft_log& log() const { return log_; }
  const std::string& identity() const { return settings_.identity; }
  /// Voters beyond a majority that hold every committed entry and were heard
  /// lately: how many may be lost with no change refused. -1 unless leading.
  int losses_survived() const;
  /// The leader's latest heartbeat round; rises within a term.
  uint64_t round() const { return round_; }
  /// The latest round that a majority of the voters has answered; 0 unless
  /// leading.
  uint64_t quorum_round() const;
  /// True when this replica leads and has applied an entry of its own term, so
  /// that its state holds all that was ever committed.
  bool is_ready_leader() const;

 private:
  // Elections: raft.cc.
  void become_follower(uint64_t term, const std::string& leader);
  void start_election(bool pre_vote, bool transfer);
  void become_leader();
  void on_vote_request(const proto::raft_message& m);
  void on_vote_reply(const proto::raft_message& m);
  bool may_vote_for(const proto::raft_message& m) const;
  bool reject_outdated(const proto::raft_message& m);
  bool has_recent_leader() const;
  static bool is_from_leader(const proto::raft_message& m);
  void adopt_term(const proto::raft_message& m);
  void leader_tick();
  void announce_self();
  void reset_timeout();
  bool is_self_voter() const;

  // Log: raft-replication.cc; members: raft-members.cc.
  void append_to_log(proto::entry_kind kind, std::string payload);
  void on_append(const proto::raft_message& m);
  void reject_append(const proto::raft_message& m);
  void add_entries(const proto::raft_message& m);
  void on_append_reply(const proto::raft_message& m);
  void on_install(const proto::raft_message& m);
  void send_append(const std::string& box, follower_progress& it,
                   bool heartbeat);
  void broadcast(bool heartbeat);
  void send_commit();
  bool waits_for_heartbeat(const follower_progress& it) const;
  bool can_send_entries(const follower_progress& it) const;
  size_t window_bytes() const;
  void advance_commit();
  void truncate_from(uint64_t index);
  void track_membership(const proto::log_entry& entry);
  void refresh_progress();
  void review_membership();
  bool membership_settled() const;
  bool admit_unknown_replica();
  bool needs_voter() const;
  unsigned voters_in_data_centre_of(const std::string& box) const;
  bool is_caught_up(const follower_progress& it) const;
  bool promote_learner();
  bool remove_surplus_voter();
  std::optional<persist_batch> next_batch();

  // Snapshots: raft-install.cc.
  void send_install(const std::string& box, follower_progress& it,
                    bool heartbeat);
  void send_part(const std::string& box, const snapshot_transfer& transfer,
                 std::string data);
  void on_install_part(const proto::raft_message& m);
  void on_install_reply(const proto::raft_message& m);

  const proto::membership& members_at(uint64_t index) const;
  proto::raft_message make_message(proto::raft_kind kind,
                                   const std::string& to) const;

  raft_settings settings_;
  random_source& random_;
  raft_log log_;
  proto::membership founding_;
  // Memberships of the log by index, oldest first.
  std::map<uint64_t, proto::membership> memberships_;

  raft_role role_ = raft_role::follower;
  uint64_t term_ = 0;
  std::string voted_for_;
  std::string leader_;
  uint64_t commit_ = 0;
  uint64_t applied_ = 0;

  unsigned elapsed_ticks_ = 0;
  unsigned timeout_ticks_ = 0;
  unsigned heartbeat_elapsed_ticks_ = 0;
  // Ticks until this replica may vote after its start.
  unsigned vote_delay_ticks_ = 0;
  uint64_t round_ = 0;
  std::set<std::string> votes_;
  std::map<std::string, follower_progress> progress_;
  std::map<std::string, std::string> unknown_replicas_;
  std::map<std::string, data_centre_id> data_centres_;
  // Bytes of the leader's own entries in each of the last ticks.
  std::deque<size_t> proposed_bytes_;
  // What was committed when the last heartbeat went out.
  uint64_t heartbeat_commit_ = 0;

  bool hard_state_dirty_ = false;
  uint64_t unstable_from_ = 1;
  uint64_t persisted_ = 0;
  uint64_t in_flight_last_index_ = 0;
  // Commit index handed to the disk, and the one known to last.
  uint64_t submitted_commit_ = 0;
  uint64_t durable_commit_ = 0;
  bool in_flight_ = false;
  // A snapshot of the leader is installed only once it is on the disk.
  std::shared_ptr<const proto::log_snapshot> unsaved_snapshot_;
  std::shared_ptr<const proto::log_snapshot> in_flight_snapshot_;
  std::shared_ptr<const proto::log_snapshot> snapshot_to_install_;
  // What has come of a leader's snapshot, and in which term.
  std::unique_ptr<proto::log_snapshot> incoming_snapshot_;
  uint64_t incoming_term_ = 0;
  std::vector<proto::raft_message> outgoing_messages_;
  // Messages that tell of state not yet on the disk.
  std::vector<proto::raft_message> unsynced_messages_;
  std::vector<proto::raft_message> in_flight_messages_;
};

}  // namespace kestrelreel

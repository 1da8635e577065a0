// One replica of the log as a pure state machine: the owner feeds messages,
// ticks and disk completions, and takes actions. The class does no I/O.
// The protocol is Raft (Ongaro and Ousterhout, 2014) with pre-vote, check
// quorum, leadership transfer, learners and single-step membership changes;
// docs/design/record.md gives the reasons.
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

/// Role of a replica.
enum class raft_role { follower, pre_candidate, candidate, leader };

/// Name of the role in logs and in the status.
const char* to_string(raft_role role);

/// Fixed properties of a replica.
struct raft_settings {
  box_id self;
  /// Identity of the data folder; a box that lost its folder gets a new one.
  std::string identity;
  /// Minimum election timeout in ticks; the maximum is twice this value.
  unsigned election_ticks = 10;
  unsigned heartbeat_ticks = 2;
  /// Maximum bytes of the entries in one append message, or of one snapshot
  /// part.
  size_t batch_bytes = 64 << 10;
  /// Maximum bytes in flight to one follower; the window grows to the bytes
  /// proposed within half an election timeout, if those are more. Other
  /// messages to the same box queue behind the window: for 10 ms on a link of
  /// 200 Mbit/s. With 8 ms for the round trip and the sync, the window allows
  /// 32 MB/s.
  size_t window_bytes = 256 << 10;
  /// Maximum entries in flight to one follower.
  uint64_t window_entries = 4096;
  /// Boxes that have a data folder. A replica that is not a voter announces
  /// itself to these boxes.
  std::vector<box_id> replica_boxes;
  /// Target number of voters. While that many voters answer, no learner is
  /// promoted. While there are more, a silent voter is removed permanently.
  /// 0 sets no bound: every learner is promoted, and no voter is removed.
  unsigned target_voters = 0;
  /// After a restart, grant no vote for the minimum election timeout, because
  /// the replica no longer knows which leader it answered. Only tests turn this
  /// off.
  bool delay_first_vote = true;
  /// Ticks after which a leader with an unfinished write transfers its
  /// leadership; 0 waits forever.
  unsigned slow_write_ticks = 0;
  /// Ticks of silence after which a voter no longer counts towards
  /// `target_voters`; a surplus voter is then removed.
  unsigned silent_ticks = 20;
};

/// Durable state that a replica loads at start.
struct raft_state {
  proto::hard_state hard;
  std::shared_ptr<const proto::log_snapshot> snapshot;
  std::vector<proto::log_entry> entries;
  /// Members before the first snapshot or membership entry.
  proto::membership founding;
};

/// Data that must be durable before `raft::persisted` is called.
struct persist_batch {
  std::optional<proto::hard_state> hard;
  /// Replaces the whole log.
  std::shared_ptr<const proto::log_snapshot> snapshot;
  /// Each entry replaces the entry at its index and all later ones.
  std::vector<proto::log_entry> entries;
};

/// Work for the owner of a replica.
struct raft_actions {
  std::vector<proto::raft_message> messages;
  std::optional<persist_batch> persist;
  /// Must be installed before `committed` is applied.
  std::shared_ptr<const proto::log_snapshot> install;
  std::vector<proto::log_entry> committed;
};

/// The Raft state machine of one replica. Not thread-safe.
class raft {
 public:
  raft(raft_settings settings, random_source& random, raft_state state);

  /// Advances the replica's clock by one tick.
  void tick();
  /// Handles a message from another replica. Messages may be lost, duplicated
  /// or delayed.
  void step(const proto::raft_message& m);
  /// Appends a command; `Unavailable` unless this replica leads.
  absl::StatusOr<log_index> propose(std::string payload);
  /// Appends a membership that differs from the current one by one replica.
  /// `Unavailable` unless this replica leads; `FailedPrecondition` while an
  /// earlier change is not committed.
  absl::Status propose_membership(const proto::membership& members);
  /// Transfers leadership to the responsive voter with the longest matching
  /// log, and steps down at once, so that a delayed transfer message is
  /// harmless. Does nothing unless this replica leads and another voter is
  /// responsive.
  void transfer_leadership();
  /// Adds a box to `raft_settings::replica_boxes`.
  void add_replica_box(const box_id& box);
  /// Sets the data centre of a box; voters are spread over the data centres.
  void assign_data_centre(const box_id& box, const data_centre_id& data_centre);
  /// Returns the pending actions. At most one persist batch is in flight.
  raft_actions take_actions();
  /// The last batch returned by `take_actions` is durable.
  void persisted();
  /// Makes a snapshot up to the last entry that `take_actions` returned as
  /// committed; `data` is the owner's state after that entry.
  std::shared_ptr<const proto::log_snapshot> make_snapshot(
      std::string data) const;
  /// Drops the log entries that the snapshot covers. The file on disk must keep
  /// these entries until the snapshot is durable.
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
  /// Number of voters that may be lost while commits go on: the responsive
  /// voters that hold every committed entry, beyond a majority. -1 unless
  /// leading.
  int losses_survived() const;
  /// The leader's latest heartbeat round; increases within a term.
  uint64_t round() const { return round_; }
  /// The latest round that a majority of the voters has answered; 0 unless
  /// leading.
  uint64_t quorum_round() const;
  /// True when this replica leads and has applied an entry of its own term, so
  /// that its state includes every entry ever committed.
  bool is_ready_leader() const;

 private:
  // Elections; defined in raft.cc.
  void become_follower(uint64_t term, const std::string& leader);
  void start_election(bool pre_vote, bool transfer);
  void become_leader();
  void on_vote_request(const proto::raft_message& m);
  void on_vote_reply(const proto::raft_message& m);
  bool may_vote_for(const proto::raft_message& m) const;
  bool reject_outdated(const proto::raft_message& m);
  bool has_recent_leader() const;
  void follow(const std::string& leader);
  static bool is_from_leader(const proto::raft_message& m);
  void adopt_term(const proto::raft_message& m);
  void leader_tick();
  void announce_self();
  void reset_timeout();
  bool is_self_voter() const;

  // Log replication, defined in raft-replication.cc, and membership, defined in
  // raft-members.cc.
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
  void repair_membership();
  bool membership_settled() const;
  bool admit_unknown_replica();
  bool needs_voter() const;
  unsigned voters_in_data_centre_of(const std::string& box) const;
  bool is_caught_up(const follower_progress& it) const;
  bool promote_learner();
  bool remove_surplus_voter();
  std::optional<persist_batch> next_batch();

  // Snapshot transfer; defined in raft-install.cc.
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
  // Memberships in the log by index, oldest first.
  std::map<uint64_t, proto::membership> memberships_;

  raft_role role_ = raft_role::follower;
  uint64_t term_ = 0;
  std::string voted_for_;
  std::string leader_;
  uint64_t commit_ = 0;
  uint64_t applied_ = 0;

  // Ticks since the last contact with a leader or the start of an election;
  // while leading, ticks since the last quorum check.
  unsigned elapsed_ticks_ = 0;
  unsigned timeout_ticks_ = 0;
  unsigned heartbeat_elapsed_ticks_ = 0;
  // Ticks until this replica may vote, after a restart or an answer to a
  // leader.
  unsigned vote_delay_ticks_ = 0;
  uint64_t round_ = 0;
  std::set<std::string> votes_;
  // Followers by box, while leading.
  std::map<std::string, follower_progress> progress_;
  // Replicas that sent a message without being members: identities by box.
  std::map<std::string, std::string> unknown_replicas_;
  std::map<std::string, data_centre_id> data_centres_;
  // Bytes proposed in each of the last ticks.
  std::deque<size_t> proposed_bytes_;
  // Commit index when the last heartbeat was sent.
  uint64_t heartbeat_commit_ = 0;

  bool hard_state_dirty_ = false;
  // First index not yet submitted to the disk.
  uint64_t unstable_from_ = 1;
  uint64_t persisted_ = 0;
  uint64_t in_flight_last_index_ = 0;
  // Commit index submitted to the disk, and the one known to be durable.
  uint64_t submitted_commit_ = 0;
  uint64_t durable_commit_ = 0;
  bool write_in_flight_ = false;
  // A snapshot from the leader is installed only once it is durable.
  std::shared_ptr<const proto::log_snapshot> unsaved_snapshot_;
  std::shared_ptr<const proto::log_snapshot> in_flight_snapshot_;
  std::shared_ptr<const proto::log_snapshot> snapshot_to_install_;
  // Received parts of the leader's snapshot, and the term of that leader.
  std::unique_ptr<proto::log_snapshot> incoming_snapshot_;
  uint64_t incoming_term_ = 0;
  std::vector<proto::raft_message> outgoing_messages_;
  // Messages that reveal state which is not yet durable.
  std::vector<proto::raft_message> unsynced_messages_;
  std::vector<proto::raft_message> in_flight_messages_;
};

}  // namespace kestrelreel

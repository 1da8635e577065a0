// Replication state that a leader keeps for one follower: the part of the log
// that the follower holds, and the messages in flight.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>

#include "proto/consensus.pb.h"

namespace kestrelreel {

/// Sends one snapshot to a follower in parts.
class snapshot_transfer {
 public:
  using snapshot_pointer = std::shared_ptr<const proto::log_snapshot>;

  /// The snapshot being sent; null while there is none.
  const snapshot_pointer& snapshot() const { return snapshot_; }
  /// Bytes that the follower has acknowledged.
  size_t acknowledged() const { return acknowledged_; }
  /// Offset of the next byte to send.
  size_t sent() const { return sent_; }

  /// Must be called before parts are sent. Switches to the newest snapshot
  /// while the follower holds no part of an earlier one. Without progress for
  /// the retry time, resends from the offset that the follower reported last;
  /// the retry time doubles with each resend, because a slow link needs long to
  /// deliver the parts already in flight.
  void prepare(const snapshot_pointer& newest, unsigned min_retry_ticks);
  void part_sent(size_t bytes) { sent_ += bytes; }
  /// The follower holds the snapshot up to `offset`.
  void acknowledge(size_t offset);
  void tick() { idle_ticks_ += snapshot_ ? 1 : 0; }

 private:
  void begin(const snapshot_pointer& it);

  snapshot_pointer snapshot_;
  size_t acknowledged_ = 0;
  size_t sent_ = 0;
  // Offset reported last; falls when the follower restarts.
  size_t reported_ = 0;
  // Ticks since the last progress, and the number after which parts are resent.
  unsigned idle_ticks_ = 0;
  unsigned retry_ticks_ = 0;
};

/// Replication state of one follower.
class follower_progress {
 public:
  std::string identity;
  bool learner = false;
  /// Ticks since the last message from the follower.
  unsigned silent_ticks = 0;
  /// The latest heartbeat round that the follower answered.
  uint64_t round = 0;
  snapshot_transfer transfer;

  /// The highest index known to match the leader's log.
  uint64_t match() const { return match_; }
  /// The next index to send.
  uint64_t next() const { return next_; }
  /// True after a rejected append, while the leader searches for the matching
  /// index. Entries sent meanwhile would be rejected as well.
  bool probing() const { return probing_; }
  /// Bytes of entries that were sent but not acknowledged.
  size_t bytes_in_flight() const { return bytes_in_flight_; }

  /// Starts optimistically: assumes that the follower holds all up to `last`.
  void start_after(uint64_t last) { next_ = last + 1; }
  /// `n` entries with `bytes` in total were sent.
  void sent(uint64_t n, size_t bytes);
  /// The follower's log matches up to `match`.
  void accepted(uint64_t match);
  /// The follower rejected an append after index `previous` (0: unknown) and
  /// may match at `hint`. Returns false for a stale rejection.
  bool rejected(uint64_t previous, uint64_t hint);

 private:
  struct sent_batch {
    uint64_t last;
    size_t bytes;
  };
  uint64_t match_ = 0;
  uint64_t next_ = 1;
  bool probing_ = false;
  std::deque<sent_batch> in_flight_;
  size_t bytes_in_flight_ = 0;
};

}  // namespace kestrelreel

// What a leader knows of one follower's log, and what is on its way there.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>

#include "proto/consensus.pb.h"

namespace kestrelreel {

/// A snapshot on its way to a follower, in parts.
class snapshot_transfer {
 public:
  using snapshot_pointer = std::shared_ptr<const proto::log_snapshot>;

  /// Null while none is on its way.
  const snapshot_pointer& snapshot() const { return snapshot_; }
  size_t acknowledged() const { return acknowledged_; }
  size_t sent() const { return sent_; }

  /// To be called before parts are sent: takes up the newest snapshot while
  /// nothing is held of an earlier one, and goes back to what the follower
  /// said last when nothing moved for a time that doubles with each going back,
  /// as a slow link takes long for what is on its way already.
  void prepare(const snapshot_pointer& newest, unsigned min_retry_ticks);
  void part_sent(size_t bytes) { sent_ += bytes; }
  /// The follower holds so much of it.
  void acknowledge(size_t offset);
  void tick() { idle_ticks_ += snapshot_ ? 1 : 0; }

 private:
  void begin(const snapshot_pointer& it);

  snapshot_pointer snapshot_;
  size_t acknowledged_ = 0;
  size_t sent_ = 0;
  // What the follower said last: less than before, if it started again.
  size_t reported_ = 0;
  // Since something was acknowledged, and after how many to go back.
  unsigned idle_ticks_ = 0;
  unsigned retry_ticks_ = 0;
};

/// A follower of this replica, while it leads.
class follower_progress {
 public:
  std::string identity;
  bool learner = false;
  unsigned silent_ticks = 0;
  /// The latest heartbeat round that it answered.
  uint64_t round = 0;
  snapshot_transfer transfer;

  /// The highest index known to be in its log, and the next one to be sent.
  uint64_t match() const { return match_; }
  uint64_t next() const { return next_; }
  /// It refused an append, and where its log matches is being asked for:
  /// entries sent meanwhile would be refused as well.
  bool probing() const { return probing_; }
  /// Bytes of entries that were sent and not acknowledged.
  size_t bytes_in_flight() const { return bytes_in_flight_; }

  /// Nothing is known of it but that it may hold all up to `last`.
  void start_after(uint64_t last) { next_ = last + 1; }
  /// `n` entries of so many bytes were sent.
  void sent(uint64_t n, size_t bytes);
  void accepted(uint64_t match);
  /// It refused an append after `previous` (0: not told) and may match at
  /// `hint`. False for what answers no question that is still open.
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

// What a leader knows of one follower's log, and what is on its way there.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>

#include "proto/consensus.pb.h"

namespace kestrelreel {

/// A snapshot that is sent in parts.
struct snapshot_transfer {
  /// Null while none is on its way.
  std::shared_ptr<const proto::log_snapshot> snapshot;
  size_t acknowledged = 0;
  size_t sent = 0;
  /// Ticks since the follower answered a part.
  unsigned quiet_ticks = 0;
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
  size_t bytes_out() const { return bytes_out_; }

  /// Nothing is known of it but that it may hold all up to `last`.
  void start_after(uint64_t last) { next_ = last + 1; }
  /// `n` entries of so many bytes were sent.
  void sent(uint64_t n, size_t bytes);
  void accepted(uint64_t match);
  /// It refused an append after `previous` (0: not told) and may match at
  /// `hint`. False for what answers no question that is still open.
  bool refused(uint64_t previous, uint64_t hint);

 private:
  struct batch {
    uint64_t last;
    size_t bytes;
  };
  uint64_t match_ = 0;
  uint64_t next_ = 1;
  bool probing_ = false;
  std::deque<batch> out_;
  size_t bytes_out_ = 0;
};

}  // namespace kestrelreel

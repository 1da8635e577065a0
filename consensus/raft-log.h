// The part of the replicated log that a replica keeps in memory: all entries
// after its last snapshot.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <vector>

#include "proto/consensus.pb.h"

namespace kestrelreel {

/// Log entries by index. Of the entry at the snapshot's index only the term is
/// kept.
class raft_log {
 public:
  /// Creates an empty log after `snapshot`; null stands for index 0.
  explicit raft_log(std::shared_ptr<const proto::log_snapshot> snapshot);

  uint64_t last_index() const { return base_index_ + entries_.size(); }
  uint64_t last_term() const { return term_at(last_index()); }
  /// Index and term of the last entry that the snapshot covers.
  uint64_t snapshot_index() const { return base_index_; }
  uint64_t snapshot_term() const { return base_term_; }
  const std::shared_ptr<const proto::log_snapshot>& snapshot() const {
    return snapshot_;
  }

  /// True when the log holds the term of that index.
  bool has_term(uint64_t index) const {
    return index >= base_index_ && index <= last_index();
  }
  /// Term of an index for which `has_term` is true.
  uint64_t term_at(uint64_t index) const;
  /// Entry at an index after the snapshot's index.
  const proto::log_entry& at(uint64_t index) const;

  /// Adds the entry that follows the last one.
  void append(proto::log_entry entry);
  /// Drops all entries from `index` on.
  void truncate_from(uint64_t index);
  /// Drops the entries that the snapshot covers and keeps the later ones.
  void compact(std::shared_ptr<const proto::log_snapshot> snapshot);
  /// Drops all entries and restarts after the snapshot.
  void reset(std::shared_ptr<const proto::log_snapshot> snapshot);

  /// True when a log whose last entry has this index and term is at least as
  /// up to date as this log (section 5.4.1 of the Raft paper).
  bool is_up_to_date(uint64_t index, uint64_t term) const;
  /// Entries from `index` on, up to about `max_bytes` but at least one.
  std::vector<proto::log_entry> slice(uint64_t index, size_t max_bytes) const;

 private:
  std::shared_ptr<const proto::log_snapshot> snapshot_;
  uint64_t base_index_ = 0;
  uint64_t base_term_ = 0;
  std::deque<proto::log_entry> entries_;
};

}  // namespace kestrelreel

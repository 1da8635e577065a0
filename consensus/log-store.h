// A replica's log on disk: one file of checksummed records. Each record holds
// the data that one sync must persist atomically.
#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "base/ids.h"
#include "consensus/raft.h"
#include "kernel/disk.h"
#include "proto/consensus.pb.h"

namespace kestrelreel {

/// The parsed content of a log file.
struct parsed_log {
  proto::log_header header;
  raft_state state;
  /// Length of the valid prefix; a record cut short by a crash may follow.
  size_t valid_bytes = 0;
};

/// Parses a log file. Skips a record cut short at the end, because no sync of
/// that record can have returned. Returns `DataLoss` when the file does not
/// begin with a valid record, when a corrupt record precedes a valid one, or
/// when an entry does not follow the earlier ones.
absl::StatusOr<parsed_log> parse_log(const std::string& bytes);

/// The log of one data folder. Calls block until the disk operation completes.
class log_store {
 public:
  /// Opens the folder's log. Fails with `NotFound` when the folder has none,
  /// with `FailedPrecondition`, changing nothing, when the folder belongs to
  /// another box or has a newer format, and with `DataLoss` when the log is
  /// corrupt.
  static absl::StatusOr<std::unique_ptr<log_store>> open(disk& folder,
                                                         const box_id& box);
  /// Creates an empty log with that identity in a folder without a log.
  static absl::StatusOr<std::unique_ptr<log_store>> create(
      disk& folder, const box_id& box, const std::string& identity,
      const proto::membership& founding);

  const std::string& identity() const { return header_.identity(); }
  /// Moves out the state that `open` read or `create` made.
  raft_state take_state() { return std::move(state_); }

  /// Returns once the batch is durable. After `ResourceExhausted` (the disk is
  /// full) no part of the batch remains, and the caller may write the batch
  /// again. After any other error the store must not be used.
  absl::Status write(const persist_batch& batch);
  /// Rewrites the file with the snapshot and the entries after the snapshot.
  /// After `ResourceExhausted` the old file stays in use; after any other
  /// error the store must not be used.
  absl::Status compact(const proto::log_snapshot& snapshot,
                       const std::vector<proto::log_entry>& entries);
  /// Size of the file in bytes.
  size_t size() const { return size_.load(); }

 private:
  log_store(disk& folder, proto::log_header header, raft_state state);
  absl::Status rewrite(const proto::log_snapshot& snapshot,
                       const std::vector<proto::log_entry>& entries);
  /// Opens the file and truncates it to `keep` bytes. Never fails with
  /// `ResourceExhausted`.
  absl::Status reopen(size_t keep);

  disk& folder_;
  proto::log_header header_;
  raft_state state_;
  proto::hard_state hard_;
  std::unique_ptr<append_file> file_;
  std::atomic<size_t> size_ = 0;
};

}  // namespace kestrelreel

// A replica's log on its disk: one file of checksummed records, each of which
// holds what one sync must keep whole.
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

/// What a log file's bytes hold.
struct parsed_log {
  proto::log_header header;
  raft_state state;
  /// Length of the sound part; what follows is a record cut short by a crash.
  size_t valid_bytes = 0;
};

/// Reads a log file. A record cut short at the end is left out, as no sync of
/// it can have returned; a broken record before a sound one is `DataLoss`.
absl::StatusOr<parsed_log> parse_log(const std::string& bytes);

/// The log of one data folder. Calls block until the disk is done.
class log_store {
 public:
  /// Opens the folder's log, or `NotFound` when it holds none. Fails with
  /// `FailedPrecondition`, changing nothing, on a folder of another box or of
  /// a newer format, and with `DataLoss` on a corrupt one.
  static absl::StatusOr<std::unique_ptr<log_store>> open(disk& folder,
                                                         const box_id& box);
  /// Puts an empty log with that identity into a folder that has none.
  static absl::StatusOr<std::unique_ptr<log_store>> create(
      disk& folder, const box_id& box, const std::string& identity,
      const proto::membership& founding);

  const std::string& identity() const { return header_.identity(); }
  /// What `open` found; empties the store's copy.
  raft_state take_state() { return std::move(state_); }

  /// Returns once the batch lasts. After `ResourceExhausted` (the disk is
  /// full) nothing of it stands and it may be written again; after any other
  /// error the store must not be used.
  absl::Status write(const persist_batch& batch);
  /// Writes the file anew with the snapshot and the entries that follow it.
  /// After `ResourceExhausted` the old file is written on; after any other
  /// error the store must not be used.
  absl::Status compact(const proto::log_snapshot& snapshot,
                       const std::vector<proto::log_entry>& entries);
  /// Bytes of the file.
  size_t size() const { return size_.load(); }

 private:
  log_store(disk& folder, proto::log_header header, raft_state state);
  absl::Status rewrite(const proto::log_snapshot& snapshot,
                       const std::vector<proto::log_entry>& entries);
  /// Never fails with `ResourceExhausted`.
  absl::Status reopen(size_t keep);

  disk& folder_;
  proto::log_header header_;
  raft_state state_;
  proto::hard_state hard_;
  std::unique_ptr<append_file> file_;
  std::atomic<size_t> size_ = 0;
};

}  // namespace kestrelreel

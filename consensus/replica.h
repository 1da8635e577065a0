// Connects a replica's state machine with its disk, its peers and the state
// that the committed entries produce.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "consensus/log-store.h"
#include "consensus/raft.h"

namespace kestrelreel {

/// Runs blocking work on another thread than that of the replica.
class serial_executor {
 public:
  virtual ~serial_executor() = default;
  /// Runs `work`, one at a time in the order of the calls, and then `done` with
  /// the result of `work` on the replica's thread.
  virtual void run(std::function<absl::Status()> work,
                   std::function<void(absl::Status)> done) = 0;
};

/// Callbacks from a replica to its process.
class replica_callbacks {
 public:
  virtual ~replica_callbacks() = default;
  /// Sends a message; delivery is not guaranteed.
  virtual void send(const proto::raft_message& m) = 0;
  /// Replaces the whole state with the snapshot's state.
  virtual void install(const proto::log_snapshot& snapshot) = 0;
  /// Applies the next committed entry.
  virtual void apply(const proto::log_entry& entry) = 0;
  /// Serializes the whole state after the last applied entry.
  virtual std::string save_state() = 0;
  /// The disk is full; called for each failed attempt. The replica retries.
  virtual void disk_full(const absl::Status& /*status*/) {}
  /// The disk failed. The process must exit without sending another message.
  virtual void disk_failed(const absl::Status& status) = 0;
};

/// Thresholds at which a replica writes a snapshot; one suffices.
struct compaction_settings {
  /// Entries applied since the last snapshot.
  uint64_t entries = 20'000;
  /// Bytes by which the log file grew since the last snapshot.
  size_t bytes = 64 << 20;
};

/// A running replica. Not thread-safe; `serial_executor` runs completions on
/// the replica's thread.
class replica {
 public:
  replica(raft_settings settings, random_source& random,
          std::unique_ptr<log_store> store, serial_executor& executor,
          replica_callbacks& callbacks, compaction_settings compaction = {});

  /// Advances the replica's clock by one tick.
  void tick();
  /// Handles a message from another replica.
  void receive(const proto::raft_message& m);
  /// Appends a command to the log; `Unavailable` unless this replica leads.
  absl::Status propose(std::string payload);
  /// Transfers leadership to another voter, if this replica leads.
  void transfer_leadership();

  /// Adds a box to `raft_settings::replica_boxes`.
  void add_replica_box(const box_id& box) { raft_.add_replica_box(box); }

  /// Sets the data centre of a box.
  void assign_data_centre(const box_id& box,
                          const data_centre_id& data_centre) {
    raft_.assign_data_centre(box, data_centre);
  }

  /// Read access to the state machine.
  const raft& state() const { return raft_; }

 private:
  void process_actions();
  void write(const std::shared_ptr<persist_batch>& batch);
  void on_written(const std::shared_ptr<persist_batch>& batch,
                  const absl::Status& status);
  void compact_if_due();

  std::unique_ptr<log_store> store_;
  unsigned slow_write_ticks_ = 0;
  raft raft_;
  serial_executor& executor_;
  replica_callbacks& callbacks_;
  compaction_settings compaction_;
  size_t size_after_compaction_ = 0;
  unsigned writes_in_flight_ = 0;
  // Ticks with a write in flight since the last batch became durable.
  unsigned write_ticks_ = 0;
  // A batch that failed on a full disk; written again at the next tick.
  std::shared_ptr<persist_batch> retry_batch_;
  bool failed_ = false;
  // Expires with the replica, so that later completions do nothing.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace kestrelreel

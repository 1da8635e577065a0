// Joins a replica's state machine with its disk, its peers and the state that
// the committed entries build up.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "consensus/log-store.h"
#include "consensus/raft.h"

namespace kestrelreel {

/// Runs what blocks away from the thread of the decisions.
class serial_executor {
 public:
  virtual ~serial_executor() = default;
  /// Runs `work`, one at a time in the order of the calls, then `done` with
  /// its result on the thread of the decisions.
  virtual void run(std::function<absl::Status()> work,
                   std::function<void(absl::Status)> done) = 0;
};

/// What a replica needs of its process.
class replica_callbacks {
 public:
  virtual ~replica_callbacks() = default;
  /// Sends a message; it may be lost.
  virtual void send(const proto::raft_message& m) = 0;
  /// Puts the snapshot's state in the place of all state so far.
  virtual void install(const proto::log_snapshot& snapshot) = 0;
  /// Applies the next committed entry.
  virtual void apply(const proto::log_entry& entry) = 0;
  /// The whole state after the last applied entry.
  virtual std::string save_state() = 0;
  /// The disk takes no more bytes, or does so again; the replica tries on.
  virtual void disk_full(const absl::Status& /*status*/) {}
  /// The disk failed: the process must end without sending anything more.
  virtual void disk_failed(const absl::Status& status) = 0;
};

/// How often a replica writes a snapshot.
struct compaction_settings {
  /// Entries since the last snapshot.
  uint64_t entries = 20'000;
  /// Bytes of the log file since the last snapshot.
  size_t bytes = 64 << 20;
};

/// A running replica. Not thread-safe; `serial_executor` returns to its thread.
class replica {
 public:
  replica(raft_settings settings, random_source& random,
          std::unique_ptr<log_store> store, serial_executor& executor,
          replica_callbacks& callbacks, compaction_settings compaction = {});

  /// One tick of the replica's clock.
  void tick();
  /// A message of another replica.
  void receive(const proto::raft_message& m);
  /// Adds a command to the log; `Unavailable` unless this replica leads.
  absl::Status propose(std::string payload);
  /// Hands leadership on, if this replica leads.
  void transfer_leadership();

  /// Boxes that may hold a replica, beside those of the settings.
  void add_replica_box(const box_id& box) { raft_.add_replica_box(box); }

  /// Where a box stands.
  void assign_data_centre(const box_id& box, const data_centre_id& place) {
    raft_.assign_data_centre(box, place);
  }

  /// The state machine, for reading.
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
  // Ticks since the oldest write under way began.
  unsigned write_ticks_ = 0;
  // A batch that found the disk full; written again at the next tick.
  std::shared_ptr<persist_batch> retry_batch_;
  bool failed_ = false;
  // A callback of the queue that comes after the replica's end does nothing.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace kestrelreel

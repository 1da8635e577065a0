// One box of a seeded run: its replica, its disk, its queue of writes and the
// applied state.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "consensus/replica.h"
#include "consensus/soak/fake-disk.h"
#include "consensus/soak/soak-run.h"

namespace kestrelreel {

/// Receives the events of a box.
class soak_observer {
 public:
  virtual ~soak_observer() = default;
  virtual void sent(const proto::raft_message& m) = 0;
  virtual void applied(const std::string& box,
                       const proto::log_entry& entry) = 0;
  virtual void installed(const std::string& box, uint64_t index,
                         const std::vector<std::string>& state) = 0;
};

/// A box whose replica can crash, stall and lose its data folder.
class soak_box final : public replica_callbacks, public serial_executor {
 public:
  soak_box(std::string box, std::vector<std::string> all_boxes,
           const soak_options& options, random_source& random,
           soak_observer& observer);

  /// Starts the process; `new_cluster` creates a new record.
  void start(bool new_cluster);
  /// Kills the process; a write in flight stops at a random point.
  void crash();
  /// Kills the process by a power loss: a write in flight stops at a random
  /// point, and only synced bytes survive.
  void lose_power();
  /// Runs the oldest write in flight.
  void run_disk();
  /// Deletes all files of the data folder.
  void wipe();
  /// True when the entry, or a snapshot that covers it, is synced to disk.
  bool holds_synced(const proto::log_entry& entry);

  bool up() const { return replica_ != nullptr; }
  replica& instance() { return *replica_; }
  const replica& instance() const { return *replica_; }
  const std::string& box() const { return box_; }
  const std::string& identity() const { return identity_; }
  /// Applied commands in order; kept after a crash until the next start.
  const std::vector<std::string>& state() const { return state_; }
  uint64_t applied_index() const { return applied_index_; }
  /// Highest index applied since the data folder was last lost.
  uint64_t highest_applied() const { return highest_applied_; }
  bool has_writes() const { return !writes_.empty(); }
  unsigned snapshots() const { return snapshots_; }

  void run(std::function<absl::Status()> work,
           std::function<void(absl::Status)> done) override;
  void send(const proto::raft_message& m) override;
  void install(const proto::log_snapshot& snapshot) override;
  void apply(const proto::log_entry& entry) override;
  std::string save_state() override;
  void disk_failed(const absl::Status& status) override;

 private:
  struct pending_write {
    std::function<absl::Status()> work;
    std::function<void(absl::Status)> done;
  };
  void stop_process();
  std::unique_ptr<log_store> open_store(bool new_cluster);
  std::unique_ptr<log_store> reopen_without_vote(log_store& store);
  proto::membership founding_members() const;

  std::string box_;
  std::vector<std::string> all_boxes_;
  const soak_options& options_;
  random_source& random_;
  soak_observer& observer_;
  fake_disk disk_;
  std::deque<pending_write> writes_;
  std::unique_ptr<replica> replica_;
  std::string identity_;
  std::vector<std::string> state_;
  uint64_t applied_index_ = 0;
  uint64_t highest_applied_ = 0;
  unsigned snapshots_ = 0;
  bool failed_ = false;
};

}  // namespace kestrelreel

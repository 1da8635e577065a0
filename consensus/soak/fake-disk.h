// A data folder in memory whose crash loses unsynced bytes.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "base/clock.h"
#include "kernel/disk.h"

namespace kestrelreel {

/// The durable bytes of a file, and those that a crash may lose.
struct fake_file {
  std::string synced;
  std::string unsynced;
};

/// An in-memory data folder, used by one log store at a time. A crash closes
/// its files.
class fake_disk final : public disk {
 public:
  absl::StatusOr<std::string> read(const std::string& name) override;
  absl::StatusOr<std::unique_ptr<append_file>> open(const std::string& name,
                                                    size_t keep) override;
  absl::Status replace(const std::string& name,
                       std::string_view content) override;

  /// Keeps a random prefix of the unsynced bytes, sometimes with a flipped bit
  /// in the last byte, and drops the remaining bytes.
  void crash(random_source& random);
  /// Drops all unsynced bytes, as a power loss does.
  void lose_unsynced();
  /// Deletes all files.
  void wipe() { files_->clear(); }
  /// Lets the next `operations` writes and syncs succeed and all later ones
  /// fail.
  void fail_after(int operations) { operations_left_ = operations; }
  /// Lets all operations succeed again.
  void heal() { operations_left_ = unlimited; }
  std::map<std::string, fake_file>& files() { return *files_; }

 private:
  class file;
  static constexpr int unlimited = -1;
  bool consume_operation();

  std::shared_ptr<std::map<std::string, fake_file>> files_ =
      std::make_shared<std::map<std::string, fake_file>>();
  int operations_left_ = unlimited;
};

}  // namespace kestrelreel

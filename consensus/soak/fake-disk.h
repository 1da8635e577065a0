// A data folder in memory that loses what was not synced when it crashes.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "base/clock.h"
#include "kernel/disk.h"

namespace kestrelreel {

/// What of a file lasts, and what a crash may take.
struct fake_file {
  std::string synced;
  std::string unsynced;
};

/// The folder. One at a time may be open; a crash closes its files.
class fake_disk final : public disk {
 public:
  absl::StatusOr<std::string> read(const std::string& name) override;
  absl::StatusOr<std::unique_ptr<append_file>> open(const std::string& name,
                                                    size_t keep) override;
  absl::Status replace(const std::string& name,
                       std::string_view content) override;

  /// Keeps a random part of what was not synced, the last byte of it perhaps
  /// flipped, and loses the rest.
  void crash(random_source& random);
  /// Loses all that was not synced, as with the power.
  void lose_unsynced();
  /// Loses everything.
  void wipe() { files_->clear(); }
  /// The next writes and syncs up to that many succeed, then all fail.
  void fail_after(int operations) { operations_left_ = operations; }
  /// Ends the failures.
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

// The few file operations that durable state needs, as an interface: tests put
// a disk behind it that loses what was not synced.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace kestrelreel {

/// An error after which the caller can't go on as if nothing had happened, made
/// one that isn't taken for a full disk, whatever the system calls it.
absl::Status not_full(const absl::Status& error);

/// A file that only grows.
class append_file {
 public:
  virtual ~append_file() = default;
  /// Adds bytes at the end; they may be lost until `sync` returns.
  virtual absl::Status append(std::string_view bytes) = 0;
  /// Returns once all appended bytes last. After an error nothing may be
  /// assumed of any byte since the last good sync.
  virtual absl::Status sync() = 0;
};

/// One data folder. Names are plain file names within it.
class disk {
 public:
  virtual ~disk() = default;
  /// The whole content; `NotFound` when there is no such file.
  virtual absl::StatusOr<std::string> read(const std::string& name) = 0;
  /// Opens for appending after `keep` bytes; what follows them is cut off, and
  /// what is kept lasts, also where a process that ended had not synced it.
  /// After any error, `ResourceExhausted` too, the rest may stand there still.
  virtual absl::StatusOr<std::unique_ptr<append_file>> open(
      const std::string& name, size_t keep) = 0;
  /// Puts a file of that content in the place of `name`, whole or not at all,
  /// and returns once it lasts. After `ResourceExhausted` the old file stands
  /// under its name, and files opened before are still of use. After any other
  /// error either of the two may stand there, now and after a loss of power:
  /// files opened before must not be written to.
  virtual absl::Status replace(const std::string& name,
                               std::string_view content) = 0;
};

/// A data folder of the machine, locked against other processes.
class folder_disk final : public disk {
 public:
  /// Fails when the folder is missing, not writable, or in use by another
  /// process.
  static absl::StatusOr<std::unique_ptr<folder_disk>> open_folder(
      const std::string& path);
  ~folder_disk() override;

  absl::StatusOr<std::string> read(const std::string& name) override;
  absl::StatusOr<std::unique_ptr<append_file>> open(const std::string& name,
                                                    size_t keep) override;
  absl::Status replace(const std::string& name,
                       std::string_view content) override;

 private:
  folder_disk(std::string path, int folder, int lock)
      : path_(std::move(path)), folder_(folder), lock_(lock) {}

  std::string path_;
  int folder_;
  int lock_;
};

}  // namespace kestrelreel

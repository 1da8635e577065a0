// A kestrelreeld process of a test: its start, its end, and what it holds.
#pragma once

#include <sys/types.h>

#include <cstddef>
#include <filesystem>
#include <string>

namespace kestrelreel::crowds {

/// Starts the program with a settings file, and kills it in the end.
class box_process {
 public:
  /// The process writes its log beside its settings, in `folder`.
  box_process(const std::filesystem::path& folder, const std::string& name,
              const std::string& settings, bool new_cluster);
  ~box_process();
  box_process(const box_process&) = delete;
  box_process& operator=(const box_process&) = delete;

  /// False once it has ended, by itself or by a signal.
  bool is_alive();
  /// Most memory that it held so far, and what it holds now, in bytes.
  size_t peak_memory() const;
  size_t memory() const;
  /// Open descriptors.
  size_t descriptors() const;
  /// Stops it, or lets it go on.
  void freeze() const;
  void thaw() const;
  /// Its log, and the last lines of it.
  std::string log_text() const;
  std::string log_end() const;

 private:
  size_t status_bytes(const std::string& key) const;

  std::filesystem::path log_;
  pid_t pid_ = 0;
};

}  // namespace kestrelreel::crowds

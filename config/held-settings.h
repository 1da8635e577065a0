// The settings text that a running process holds, and what becomes of a new
// one.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "config/seeded-settings.h"

namespace kestrelreel {

/// Keeps the last sound text in force whatever the file turns into.
class held_settings {
 public:
  /// What became of a text.
  enum class outcome {
    /// It was offered last time too.
    unchanged,
    /// It has faults; the one held before stays in force.
    faulty,
    /// It is in force.
    accepted,
  };

  explicit held_settings(std::string file) : file_(std::move(file)) {}

  outcome offer(std::string_view text);
  /// The settings in force; as constructed before the first sound text.
  const seeded_settings& settings() const { return settings_; }
  /// The digest of the text in force, and of the last one offered; empty before
  /// the first.
  const std::string& digest() const { return digest_; }
  const std::string& offered_digest() const { return offered_; }
  /// The faults of the last text that had any.
  const std::vector<config_fault>& faults() const { return faults_; }

 private:
  std::string file_;
  seeded_settings settings_;
  std::string digest_;
  std::string offered_;
  std::string offered_text_;
  std::vector<config_fault> faults_;
};

}  // namespace kestrelreel

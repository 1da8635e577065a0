// The boxes that a crowd meets, as real processes on loopback, and what an
// ordinary client asks of each listener.
#pragma once

#include <unistd.h>

#include <filesystem>
#include <memory>
#include <string>

#include "support/crowds/box-process.h"
#include "support/crowds/crowd.h"

namespace kestrelreel::crowds {

/// A folder that goes with its owner.
class scratch_folder {
 public:
  scratch_folder();
  ~scratch_folder();
  scratch_folder(const scratch_folder&) = delete;
  scratch_folder& operator=(const scratch_folder&) = delete;
  const std::filesystem::path& path() const { return path_; }

 private:
  std::filesystem::path path_;
};

/// A control and an entry box of a seeded deployment.
class seeded_pair {
 public:
  /// Both run; the configuration that is in force has so many routes besides
  /// the one of `ordinary_job`.
  explicit seeded_pair(size_t more_routes = 0);

  box_process& control() { return *control_; }
  box_process& entry() { return *entry_; }

  static endpoint callers();
  static endpoint readiness();
  static endpoint controls();
  static endpoint peers();

  /// Handed in at `callers`: taken with 200.
  static std::string ordinary_job();
  /// Sent to `controls`: answered with 200.
  static std::string ordinary_heartbeat();
  /// Asked at `readiness`: answered with 200.
  static std::string readiness_question();

 private:
  scratch_folder folder_;
  std::unique_ptr<box_process> control_;
  std::unique_ptr<box_process> entry_;
};

/// A box of a listed deployment, alone.
class listed_box {
 public:
  listed_box();

  box_process& box() { return *box_; }

  static endpoint callers();
  static endpoint admin();
  static endpoint operators();
  static endpoint peers();

  /// Sent to `callers`: answered with 404, as there is no such service.
  static std::string ordinary_request();
  /// Asked at `admin`: answered with 200.
  static std::string health_question();
  /// An operator is told the box's status.
  static bool answers_operators();
  /// An operator's dry run of a change of so many bytes is answered.
  static bool reads_change(size_t bytes);

 private:
  static void apply_state();

  scratch_folder folder_;
  std::unique_ptr<box_process> box_;
};

/// The largest body that both boxes take from callers, and the largest header
/// at the seeded one.
constexpr size_t most_body_bytes = 4 << 20;
constexpr size_t most_header_bytes = 256 << 10;

}  // namespace kestrelreel::crowds

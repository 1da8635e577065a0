// The settings file of one kestrelreeld process.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "config/reader.h"

namespace kestrelreel {

/// A box of the cluster as every settings file lists it.
struct box_settings {
  box_id id;
  data_centre_id data_centre;
  std::string peer_address;
  bool replica = false;
};

/// Limits on callers' requests; docs/INTERFACE.md explains each.
struct request_limits {
  byte_count body{1 << 20};
  uint64_t connections = 1'000;
  uint64_t queued_per_service = 200;
  milliseconds idle{30'000};
  milliseconds stop_delay{1'000};
  /// Retries in percent of recent successes.
  uint64_t retry_percent = 10;
};

/// All settings of a process.
struct process_settings {
  box_id box;
  std::vector<box_settings> boxes;
  std::string callers_address;
  std::string admin_address;
  std::string operators_address;
  /// Empty on boxes without a disk.
  std::string data_folder;
  /// Where the platform lists the workers of this data centre.
  std::string platform_address;
  /// The box's memory; what connections may hold is a part of it.
  byte_count memory{256 << 20};
  std::string log_level = "info";
  std::string placement_policy = "packing";
  request_limits limits;
  milliseconds holder_lease{3'000};
  milliseconds task_lease{8'000};
  unsigned clock_drift_percent = 5;

  /// The entry of this box.
  const box_settings& self() const;
};

/// Reads and checks a file's text; gives all of its faults when it has any.
std::variant<process_settings, std::vector<config_fault>> parse_settings(
    const std::string& file, std::string_view text);

}  // namespace kestrelreel

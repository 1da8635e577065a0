// The settings file of a process of a seeded deployment: one that is told its
// own place and a few control boxes, and finds the others by itself.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "config/reader.h"
#include "scheduling/settings.h"

namespace kestrelreel {

/// What a process does.
enum class seeded_role {
  /// Takes callers' requests.
  entry,
  /// Keeps the record, decides, and takes workers' and operators' calls.
  control,
};

/// All settings of a process of a seeded deployment.
struct seeded_settings {
  /// The box's IP number, which is also its name among the boxes.
  box_id box;
  /// Its name for people.
  std::string name;
  data_centre_id data_centre;
  /// All data centres of the deployment; an order that names another is
  /// refused.
  std::vector<std::string> data_centres;
  seeded_role role = seeded_role::entry;
  std::string callers_address;
  std::string readiness_address;
  std::string control_address;
  /// Where each box listens for the others.
  uint16_t peer_port = 0;
  /// Where this box itself listens for the others, when that is not its own IP
  /// number and the port, as behind a forwarded address; else empty.
  std::string peer_address;
  /// Control boxes, by their IP numbers; at the first start the founders.
  std::vector<box_id> seeds;
  /// The whole system starts for the first time, on empty disks.
  bool found_cluster = false;
  /// Empty on boxes without a disk.
  std::string data_folder;
  /// The box's memory; what connections may hold is a part of it.
  byte_count memory{256 << 20};
  /// Control boxes that may be lost at once.
  unsigned losses_tolerated = 1;
  /// What a heartbeat's answer lets a worker run on for.
  milliseconds worker_hold{6'000};
  /// The longest that a worker takes over a stop.
  milliseconds worker_stop{1'000};
  /// From a planned stop's begin to its end.
  milliseconds stop_time{6'000};
  /// Decisions under load of a control box, and whether an entry box holds
  /// submissions while there is no leader.
  load_decisions decisions;
  bool hold_without_leader = false;
  std::string log_level = "info";
};

/// True when the text is the settings of a seeded deployment: when it has the
/// member `seeds`.
bool is_seeded(std::string_view text);

/// What tells one settings text from another at a glance: 8 hex digits, a
/// CRC-32 of its bytes. Night staff compare it between boxes.
std::string settings_digest(std::string_view text);

/// Reads and checks a file's text; gives all of its faults when it has any.
std::variant<seeded_settings, std::vector<config_fault>> parse_seeded_settings(
    const std::string& file, std::string_view text);

}  // namespace kestrelreel

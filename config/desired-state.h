// The operators' file: the whole desired state of a cluster.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "config/reader.h"
#include "proto/record.pb.h"

namespace kestrelreel {

/// A desired state as a file gives it.
struct desired_state {
  uint64_t version = 0;
  /// The version that it is meant to follow.
  uint64_t replaces = 0;
  /// Teams, services, jobs and evacuated data centres, each with its key.
  std::vector<proto::spec_item> items;
};

/// Reads and checks a file's text; gives all of its faults when it has any.
std::variant<desired_state, std::vector<config_fault>> parse_desired_state(
    const std::string& file, std::string_view text);

/// The text of a file that reads back as this state.
std::string format_desired_state(const desired_state& state);

}  // namespace kestrelreel

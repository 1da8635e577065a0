// Decodes the command in a log entry.
#pragma once

#include <optional>

#include "absl/status/statusor.h"
#include "proto/consensus.pb.h"
#include "proto/fleet.pb.h"

namespace kestrelreel {

/// Returns the command of an entry, or none for a kind of entry that carries no
/// command. Fails on an entry that can't be parsed or is of an unknown kind.
/// The process must then stop: a majority acknowledged the entry, and skipping
/// it would make this replica's state diverge from the others'.
absl::StatusOr<std::optional<fleet::fleet_command>> read_command(
    const proto::log_entry& entry);

}  // namespace kestrelreel

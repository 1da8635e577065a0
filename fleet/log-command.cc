#include "fleet/log-command.h"

#include <utility>

#include "fleet/job-book.h"

namespace kestrelreel {

absl::StatusOr<std::optional<fleet::fleet_command>> read_command(
    const proto::log_entry& entry) {
  switch (entry.kind()) {
    case proto::entry_noop:
    case proto::entry_membership:
      return std::nullopt;
    case proto::entry_command:
      break;
    default:
      return absl::DataLossError("the entry is of a kind not known here");
  }
  fleet::fleet_command command;
  if (!command.ParseFromString(entry.payload())) {
    return absl::DataLossError("the entry can't be read");
  }
  if (!is_supported_command(command)) {
    return absl::DataLossError("the entry is of a kind not known here");
  }
  return std::optional(std::move(command));
}

}  // namespace kestrelreel

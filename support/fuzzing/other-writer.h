// What another writer makes of a worker's heartbeat.
#pragma once

#include <string>
#include <vector>

#include "support/fuzzing/script.h"

namespace kestrelreel::fuzzing {

/// A body and whether the adapter must refuse it.
struct written_body {
  std::string text;
  bool unreadable = true;
  /// What was done, for reports.
  const char* how = "";
};

/// A changed copy of the last of a worker's own bodies, or an earlier one as it
/// was. None of them is the worker's next call.
written_body write_as_another(const std::vector<std::string>& own,
                              script& decide);

}  // namespace kestrelreel::fuzzing

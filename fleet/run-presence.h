// What a worker's heartbeats tell of a run that the book has on it.
#pragma once

#include "fleet/worker-table.h"

namespace kestrelreel {

enum class run_presence {
  /// Listed as running.
  running,
  /// Ended; the end may still be unlisted.
  ended,
  /// In neither list, both of which are complete: not begun.
  absent,
  /// In neither list, and the list of ends is incomplete: not begun, or ended.
  unknown
};

/// The run's presence when the worker sent its last heartbeat.
run_presence presence_of(const worker_view& it, const run_key& run);

/// True when the worker is known to have begun the run.
bool has_begun(const worker_view& it, const run_key& run);

}  // namespace kestrelreel

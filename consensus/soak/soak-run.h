// Seeded runs of the production consensus and storage code in one process:
// replicas on fake disks; a network that loses, duplicates and reorders
// messages; crashes at every step of a write; lost data folders; and one-way
// partitions. The invariants are checked after every step. A seed determines
// the whole run.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "consensus/replica.h"
#include "consensus/soak/fake-disk.h"

namespace kestrelreel {

/// Deliberate faults, which show that the invariant checks detect them.
enum class injected_fault {
  none,
  /// A vote is sent before it is durable, and a crash loses it.
  vote_not_synced,
  /// Entries are acknowledged before they are durable.
  acknowledge_unsynced,
  /// A box that lost its data folder keeps its old replica identity.
  empty_replica_votes,
};

/// Parameters of a run.
struct soak_options {
  uint64_t seed = 1;
  unsigned replicas = 3;
  unsigned steps = 6'000;
  injected_fault fault = injected_fault::none;
};

/// Result and statistics of a run.
struct soak_report {
  /// The first violated invariant; empty when all held.
  std::string violation;
  unsigned step = 0;
  uint64_t committed = 0;
  uint64_t acknowledged = 0;
  unsigned crashes = 0;
  unsigned wipes = 0;
  unsigned elections = 0;
  unsigned snapshots = 0;
};

/// Runs one seed.
soak_report run_soak(const soak_options& options);

}  // namespace kestrelreel

// Seeded runs of the real consensus and storage code in one process: replicas
// on fake disks, a network that loses, repeats and reorders, crashes at every
// step of a write, lost data folders, cuts in either direction. After every
// step the invariants are checked. One seed always gives the same run.
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

/// Faults built in on purpose, to show that the invariants catch them.
enum class injected_fault {
  none,
  /// A vote counts before it lasts, and is lost by a crash.
  vote_not_synced,
  /// Entries are acknowledged before they last.
  acknowledge_unsynced,
  /// A box with a lost data folder goes on as the replica that it was.
  empty_replica_votes,
};

/// What a run is to be like.
struct soak_options {
  uint64_t seed = 1;
  unsigned replicas = 3;
  unsigned steps = 6'000;
  injected_fault fault = injected_fault::none;
};

/// What a run found and how much happened in it.
struct soak_report {
  /// The first invariant that did not hold; empty when all did.
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

// Plays a pattern of load through the leader's real decisions on a virtual
// clock, with emulated workers that share processors and disturb each other.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "fleet/controller.h"
#include "support/emulator/pattern.h"

namespace kestrelreel::emulator {

/// What became of the jobs of one kind.
struct kind_outcome {
  unsigned asked = 0;
  unsigned in_time = 0;
  unsigned late = 0;
  /// Earned as a share of what was asked for: each job counts by its work, a
  /// late one 0.15 of that, by the users' worths.
  double earned = 0;
  double owed = 0;

  double share() const { return owed > 0 ? earned / owed : 0; }
};

/// What a load came to.
struct load_outcome {
  std::map<std::string, kind_outcome> kinds;
  /// Seconds of serving tasks at work, and of those over their target.
  double at_work_s = 0;
  double over_s = 0;
  /// What the serving jobs earned of what they could: at each moment the share
  /// of a job's tasks at work, less four times the share that is over its
  /// target, and never less than nothing (the users' rules, "Credit").
  double served = 0;
  uint64_t starts = 0;
  /// Jobs with a task that crashes workers, and those that failed; other jobs
  /// that failed; workers that crashed.
  unsigned crashing_jobs = 0;
  unsigned given_up = 0;
  unsigned wrongly_given_up = 0;
  unsigned crashes = 0;
  /// Starts beyond a room that had been so for longer than an order travels.
  unsigned over_room = 0;
  /// Mean time that the decisions took for each 100 ms played, in us.
  double decide_us = 0;
};

/// Equal seeds give equal loads.
load_outcome play(const load_pattern& pattern,
                  const scheduler_settings& settings, uint64_t seed);

}  // namespace kestrelreel::emulator

// Patterns of load as data: what arrives, what workers there are, how serving
// tasks' load swings, and which pairs of images disturb each other.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace kestrelreel::emulator {

/// Jobs that end, of one queue.
struct job_kind {
  std::string queue;
  uint32_t priority = 0;
  /// Arrivals a second, and how many times as many come during the burst.
  double per_s = 0;
  double burst = 1;
  uint32_t steps = 1;
  /// Tasks of a step on average; drawn between half and one and a half.
  uint32_t width = 1;
  uint64_t cpu_milli = 1'000;
  uint64_t memory_mb = 100;
  /// Work of a task at full pace, and how far declared times are off, as a
  /// share.
  double work_ms = 1'000;
  double estimate_off = 0;
  bool fills = false;
  double stretch = 2;
  uint64_t objective_ms = 1'000;
};

/// A whole load.
struct load_pattern {
  std::string name;
  double seconds = 40;
  unsigned workers = 20;
  uint64_t worker_cpu_milli = 16'000;
  uint64_t worker_memory_mb = 62'500;
  /// Tasks that serve users from the beginning on.
  unsigned serving_jobs = 0;
  uint32_t serving_width = 1;
  uint64_t serving_cpu_milli = 3'200;
  uint64_t serving_memory_mb = 6'400;
  double target_ms = 120;
  /// Of their processors, what their users take: `mean * (1 + swing * sin)`.
  double mean = 0.48;
  double swing = 0.5;
  double period_s = 11;
  /// Of all pairs of a serving and a fill image, the share that disturbs.
  double harmful = 0.4;
  unsigned images = 6;
  double burst_at_s = 0;
  double burst_for_s = 0;
  std::vector<job_kind> kinds;
  /// Of the jobs that end, the share whose first task crashes each worker that
  /// starts it, and how soon the worker is back as a new life.
  double crashing = 0;
  double back_s = 4;
  /// From then on for so long, a share of the workers has half of its room.
  double shrink_at_s = 0;
  double shrink_for_s = 0;
  double shrink_share = 0;
  /// The leader's box is suspended then for so long.
  double suspend_at_s = 0;
  double suspend_for_s = 0;
};

/// All patterns by name.
const std::vector<load_pattern>& all_patterns();
/// The pattern of that name; null without one.
const load_pattern* find_pattern(const std::string& name);

}  // namespace kestrelreel::emulator

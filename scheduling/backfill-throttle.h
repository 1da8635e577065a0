// Decides how far backfill tasks give way to the serving tasks beside them,
// for load in which both compete for the processors of a worker.
#pragma once

#include <span>
#include <vector>

#include "base/clock.h"

namespace kestrelreel {

/// A backfill task beside a serving task that is about to miss its target.
struct throttle_candidate {
  /// Load that one of its processors adds to the serving task, as a share of
  /// the serving task's own load.
  double cost = 0;
  /// Processors that it uses at full pace, of the reference worker.
  double full_use = 0;
  /// Its pace so far, as a share of the full one.
  double share = 1;
  /// How long its job can bear a standstill of this task.
  milliseconds slack{0};
};

/// Limits of one decision.
struct throttle_limits {
  /// Processors that jobs without slack may lose.
  double max_loss = 0;
  /// A pace holds for this long before it is decided anew.
  milliseconds review_interval{0};
};

/// How much of a processor lost by a job with this slack counts: all of it
/// without slack, nothing if the slack outlasts the next two decisions.
double loss_weight(milliseconds slack, milliseconds review_interval);

/// New paces, in the order of the tasks, that lower the serving task's load by
/// `excess` (a share of its own load) as far as possible: tasks with the
/// highest cost for the least loss are slowed first. Leaves all paces as they
/// are if jobs would lose more than `max_loss`, weighted by their slack: the
/// target is then missed, and slowing some of the tasks would only add late
/// jobs.
std::vector<double> throttle(double excess,
                             std::span<const throttle_candidate> tasks,
                             const throttle_limits& limits);

}  // namespace kestrelreel

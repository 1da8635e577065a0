// Which decisions under load are switched on.
#pragma once

namespace kestrelreel {

/// Each decision is off unless the settings of a control box name it: a
/// deployment then decides as it did before the decision was introduced. All
/// control boxes of a deployment need equal settings, since any may lead.
struct load_decisions {
  /// Learn how long tasks run; otherwise declared times are used.
  bool learn_run_times = false;
  /// Let jobs with slack give way to serving tasks.
  bool throttle_by_slack = false;
  /// Reject jobs that cannot end in time to be of use.
  bool admission = false;
  /// In overload, serve as many jobs in time as possible.
  bool overload_order = false;

  bool operator==(const load_decisions&) const = default;
};

}  // namespace kestrelreel

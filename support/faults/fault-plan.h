// Which faults strike when: drawn from a seed, the same for the same seed.
#pragma once

#include <string>
#include <vector>

#include "base/clock.h"

namespace kestrelreel::faults {

/// What strikes a box.
enum class fault_kind {
  /// Its answers on open connections vanish; a little later new connections
  /// are refused and the process is killed; it starts again after a while.
  dark_after_answers_vanish,
  /// Power: open connections fall silent, new ones are refused, the process is
  /// killed and starts again after a while.
  power,
  /// Open connections fall silent for good, one way or both; new ones work.
  silent_links,
  silent_answers,
  silent_requests,
  /// Open connections are reset.
  reset,
  /// Silent and out of reach for a while, while the process runs on.
  cut,
  /// SIGSTOP, later SIGCONT.
  freeze,
  /// The same, as a suspended box sees it: its steady clock stands still.
  suspend,
  /// SIGKILL, SIGTERM, and started again.
  kill,
  terminate,
  /// SIGHUP.
  reload,
  /// As `cut`, of one box or several and for so long that the others may
  /// compact what it misses; see `absence_plan`.
  absence,
};

const char* to_string(fault_kind kind);

/// One strike.
struct fault_strike {
  time_point at{};
  fault_kind kind = fault_kind::reset;
  /// The leader by then, else the box of that number among its role.
  bool on_leader = false;
  bool on_entry = false;
  /// A box that is absent by then, if one is.
  bool on_absent = false;
  unsigned box = 0;
  milliseconds length{0};
  /// So many boxes, from that one on.
  unsigned boxes = 1;
};

/// How a soak is made up.
struct plan_settings {
  uint64_t seed = 1;
  unsigned controls = 3;
  unsigned entries = 4;
  /// So many planned stops of entry boxes come beside the other strikes, which
  /// they don't change.
  unsigned stops = 1;
  /// The same of boxes that are suspended, half of them the leader.
  unsigned suspensions = 0;
  /// Absences of control boxes, one after the other; with them no other
  /// strikes come but theirs, the stops and the suspensions.
  unsigned absences = 0;
  /// Faults strike from the first second to this one.
  milliseconds length{15'000};
};

/// The strikes in the order of their times; some overlap.
std::vector<fault_strike> plan_faults(const plan_settings& settings);

}  // namespace kestrelreel::faults

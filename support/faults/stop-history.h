// What callers saw of entry boxes that were told to stop: a connection that
// carried a whole request gets its answer before the process is gone. Pure.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "base/clock.h"

namespace kestrelreel::faults {

/// From SIGTERM until an entry box ends at the latest: its `stop_time`, less
/// what it leaves for the process to end.
constexpr milliseconds stop_ends_by{5'300};
/// A caller's deadline: a request that is given so long in a stop is answered,
/// whatever the boxes behind do.
constexpr milliseconds caller_deadline{3'000};

/// A connection that had carried a whole request ended without its answer.
struct cut_record {
  std::string entry;
  time_point sent{};
  time_point ended{};
  std::string how;
};

/// Not thread-safe.
class stop_history {
 public:
  /// Nothing new while it is stopping: a second signal doesn't begin another
  /// stop.
  void told_to_stop(const std::string& entry, time_point at);
  /// Its process was started again.
  void started(const std::string& entry);
  /// Killed, or frozen, in a way that excuses what it owed then.
  void struck(const std::string& entry, time_point from, time_point until);
  void cut(const cut_record& it);

  /// Every request that a stop cut off, a line each.
  std::vector<std::string> broken() const;
  size_t stops() const { return stops_.size(); }

 private:
  struct stop_record {
    std::string entry;
    time_point at{};
  };
  struct strike_record {
    std::string entry;
    time_point from{};
    time_point until{};
  };
  bool is_cut_by(const cut_record& request, const stop_record& stop) const;
  bool was_struck(const std::string& entry, time_point from,
                  time_point until) const;

  std::set<std::string> stopping_;
  std::vector<stop_record> stops_;
  std::vector<strike_record> strikes_;
  std::vector<cut_record> cuts_;
};

}  // namespace kestrelreel::faults

// When a box applied which version of a part of the replicated state.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

#include "base/clock.h"

namespace kestrelreel {

/// The versions of the recent past, by the time at which they were applied.
class version_history {
 public:
  /// Times don't go back.
  void record(time_point now, uint64_t version) {
    if (!entries_.empty() && entries_.back().version == version) return;
    entries_.push_back({now, version});
    // Older times get a lower version than the true one.
    if (entries_.size() > max_entries) entries_.pop_front();
  }
  /// The last version applied at or before that time; 0 if none is known.
  uint64_t at(time_point time) const {
    uint64_t version = 0;
    for (const entry& it : entries_) {
      if (it.applied_at > time) break;
      version = it.version;
    }
    return version;
  }

 private:
  static constexpr size_t max_entries = 256;
  struct entry {
    time_point applied_at;
    uint64_t version;
  };
  std::deque<entry> entries_;
};

}  // namespace kestrelreel

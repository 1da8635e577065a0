// Sets and indexes of workers, so that work that concerns few workers does not
// scan all of them.
#pragma once

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/clock.h"

namespace kestrelreel {

struct worker_view;

/// Workers that may satisfy a condition, in the order in which they became
/// known. The code that makes the condition true adds the worker; `retain_if`
/// drops the workers for which it no longer holds.
class worker_set {
 public:
  void add(worker_view& it);
  void remove(const worker_view& it);
  void clear() { members_.clear(); }
  size_t size() const { return members_.size(); }
  /// Calls `keeps` with each member, and drops those for which it is false.
  /// `keeps` may add members.
  template <typename Keeps>
  void retain_if(Keeps keeps) {
    for (auto at = members_.begin(); at != members_.end();) {
      at = keeps(*at->second) ? std::next(at) : members_.erase(at);
    }
  }
  /// The members in rotated order: those with a higher ordinal come first.
  std::vector<worker_view*> starting_after(uint64_t ordinal) const;

 private:
  std::map<uint64_t, worker_view*> members_;
};

/// Workers by due time, each at most once.
class worker_queue {
 public:
  /// `due` is the member that holds a worker's due time; 0 while the worker is
  /// not in the queue.
  explicit worker_queue(time_point worker_view::*due) : due_(due) {}
  /// Sets the worker's due time, and replaces the earlier one.
  void set(worker_view& it, time_point at);
  void remove(worker_view& it);
  size_t size() const { return members_.size(); }
  /// The workers due by `at`, earliest first; they stay in the queue.
  std::vector<worker_view*> due_by(time_point at) const;
  /// At most `most` workers, those with the latest due times.
  std::vector<worker_view*> last(size_t most) const;

 private:
  time_point worker_view::*due_;
  std::map<std::pair<time_point, uint64_t>, worker_view*> members_;
};

/// Workers by a key that several may share.
class worker_index {
 public:
  void add(const std::string& key, worker_view& it);
  /// Inserts the worker in the order that `before` defines.
  template <typename Before>
  void add(const std::string& key, worker_view& it, Before before) {
    std::vector<worker_view*>& all = members_[key];
    all.insert(std::upper_bound(all.begin(), all.end(), &it, before), &it);
  }
  void remove(const std::string& key, const worker_view& it);
  void clear() { members_.clear(); }
  /// The workers of a key in the order of insertion or of `before`.
  const std::vector<worker_view*>& at(const std::string& key) const;

 private:
  std::unordered_map<std::string, std::vector<worker_view*>> members_;
};

/// The sets of workers that each turn or tick scans.
struct worker_groups {
  worker_groups();
  /// Workers that may have a call pending.
  worker_set calling;
  /// Workers whose runs may have ended since waiting tasks were last placed.
  worker_set freed;
  /// Workers that may have starts proposed and not yet committed.
  worker_set proposing;
  /// Workers that may have committed starts that no answer has carried.
  worker_set with_unsent_starts;
  /// Workers whose leave is recorded.
  worker_set left;
  /// Workers whose backfill tasks may be throttled hard.
  worker_set throttled;
  /// Workers that were avoided and may not be sound yet.
  worker_set recovering;
  /// Workers that may hold capacity reservations.
  worker_set with_reservations;
  /// Idle workers whose call is held because a task may become ready, by the
  /// end of the hold.
  worker_queue held_calls;
  /// All workers, by when they are next checked for missing heartbeats.
  worker_queue watched;

  void remove(worker_view& it);
};

}  // namespace kestrelreel

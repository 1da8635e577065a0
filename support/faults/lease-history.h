// What workers saw of their leases: who was granted one when, and what may
// excuse that none came. Pure.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/clock.h"

namespace kestrelreel::faults {

/// From a strike until workers are heard again: silent connections are
/// replaced, a leader is elected, workers have turned to another box.
constexpr milliseconds settled_within{4'000};

/// Not thread-safe.
class lease_history {
 public:
  /// A call sent then was granted a lease of that length.
  void granted(const std::string& worker, time_point sent, milliseconds hold);
  /// The worker crashed; its next life has another name.
  void life_over(const std::string& worker) { lives_.erase(worker); }
  /// Nothing is seen after that: who is unheard by then is judged too.
  void over(time_point at);
  /// Workers may be unheard meanwhile.
  void excused(time_point from, time_point until);

  /// Living workers that were unheard for longer than a lease though nothing
  /// excuses it, a line each.
  const std::vector<std::string>& broken() const { return broken_; }
  /// True when the worker has lived and held a lease without a gap from then
  /// until then.
  bool held(const std::string& worker, time_point from, time_point until) const;
  /// The longest time between two calls that were granted a lease, and that
  /// nothing excuses.
  milliseconds longest_unheard() const { return longest_; }

 private:
  struct lease {
    time_point from{};
    milliseconds length{0};
  };
  void judge(const std::string& worker, const lease& last, time_point until);
  time_point excused_from(time_point from, time_point until) const;

  std::map<std::string, std::vector<lease>> lives_;
  std::vector<std::pair<time_point, time_point>> excuses_;
  std::vector<std::string> broken_;
  milliseconds longest_{0};
};

}  // namespace kestrelreel::faults

#include "support/faults/lease-history.h"

#include <algorithm>
#include <iterator>

#include "base/text.h"

namespace kestrelreel::faults {

void lease_history::excused(time_point from, time_point until) {
  excuses_.emplace_back(from, until);
}

/// The time counts anew from the end of each excuse that lies in it.
time_point lease_history::excused_from(time_point from,
                                       time_point until) const {
  time_point out = from;
  for (const auto& [begin, end] : excuses_) {
    if (begin < until && end > from) out = std::max(out, end);
  }
  return std::min(out, until);
}

void lease_history::judge(const std::string& worker, const lease& last,
                          time_point until) {
  const milliseconds gap = until - excused_from(last.from, until);
  longest_ = std::max(longest_, gap);
  if (gap <= last.length) return;
  broken_.push_back(str_cat("UNHEARD ", worker, " from ", last.from.count(),
                            " to ", until.count(), ", ", gap.count(),
                            " ms of it with no excuse"));
}

void lease_history::granted(const std::string& worker, time_point sent,
                            milliseconds hold) {
  std::vector<lease>& leases = lives_[worker];
  if (!leases.empty()) judge(worker, leases.back(), sent);
  leases.push_back({sent, hold});
}

void lease_history::over(time_point at) {
  for (const auto& [worker, leases] : lives_) judge(worker, leases.back(), at);
}

bool lease_history::held(const std::string& worker, time_point from,
                         time_point until) const {
  const auto found = lives_.find(worker);
  if (found == lives_.end()) return false;
  const std::vector<lease>& leases = found->second;
  auto it = std::upper_bound(
      leases.begin(), leases.end(), from,
      [](time_point at, const lease& l) { return at < l.from; });
  if (it == leases.begin()) return false;
  for (--it; it != leases.end(); ++it) {
    const time_point end = it->from + it->length;
    if (end >= until) return true;
    const auto next = std::next(it);
    if (next == leases.end() || next->from > end) return false;
  }
  return false;
}

}  // namespace kestrelreel::faults

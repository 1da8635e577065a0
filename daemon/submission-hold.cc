#include "daemon/submission-hold.h"

#include <algorithm>
#include <iterator>

namespace kestrelreel {

std::optional<submission_id> submission_hold::add(submission_id id,
                                                  time_point deadline) {
  held_.emplace(deadline, id);
  if (held_.size() <= limits_.max_held) return std::nullopt;
  const auto last = std::prev(held_.end());
  const submission_id out = last->second;
  held_.erase(last);
  return out;
}

std::vector<submission_id> submission_hold::release(time_point now) {
  std::vector<submission_id> out;
  if (held_.empty()) return out;
  if (released_at_ && now - *released_at_ < limits_.release_interval)
    return out;
  released_at_ = now;
  while (!held_.empty() && out.size() < limits_.release_batch) {
    out.push_back(held_.begin()->second);
    held_.erase(held_.begin());
  }
  return out;
}

std::vector<submission_id> submission_hold::expire(time_point now,
                                                   time_point latest) {
  std::vector<submission_id> out;
  std::erase_if(held_, [&](const entry& it) {
    if (has_time(std::min(it.first, latest), now)) return false;
    out.push_back(it.second);
    return true;
  });
  return out;
}

}  // namespace kestrelreel

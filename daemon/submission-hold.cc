#include "daemon/submission-hold.h"

#include <algorithm>
#include <iterator>

namespace kestrelreel {

std::vector<submission_id> submission_hold::add(submission_id id,
                                                time_point deadline,
                                                size_t bytes) {
  if (bytes > limits_.max_bytes) return {id};
  held_.insert({deadline, id, bytes});
  bytes_ += bytes;
  std::vector<submission_id> out;
  while (held_.size() > limits_.max_held || bytes_ > limits_.max_bytes) {
    const auto last = std::prev(held_.end());
    out.push_back(last->id);
    bytes_ -= last->bytes;
    held_.erase(last);
  }
  return out;
}

std::vector<submission_id> submission_hold::release(time_point now) {
  std::vector<submission_id> out;
  if (held_.empty() || now < pause_until_ || trust_ == trust::asked) return out;
  if (released_at_ && now - *released_at_ < limits_.release_interval)
    return out;
  released_at_ = now;
  const bool alone = trust_ == trust::untried;
  if (alone) trust_ = trust::asked;
  const size_t most = alone ? 1 : limits_.release_batch;
  while (!held_.empty() && out.size() < most) {
    const auto first = held_.begin();
    out.push_back(first->id);
    bytes_ -= first->bytes;
    held_.erase(first);
  }
  return out;
}

std::vector<ended_submission> submission_hold::expire(time_point now,
                                                      time_point latest) {
  std::vector<ended_submission> out;
  const time_point first = std::max(now, pause_until_);
  size_t ahead = 0;
  std::erase_if(held_, [&](const entry& it) {
    const auto batches = static_cast<int64_t>(ahead / limits_.release_batch);
    const time_point turn = first + limits_.release_interval * batches;
    const auto cause = end_of(it, first, turn, latest);
    if (!cause) {
      ++ahead;
      return false;
    }
    bytes_ -= it.bytes;
    out.push_back({it.id, *cause});
    return true;
  });
  return out;
}

std::optional<hold_end> submission_hold::end_of(const entry& it,
                                                time_point first,
                                                time_point turn,
                                                time_point latest) const {
  if (!has_time(it.deadline, first)) return hold_end::no_leader_in_time;
  if (!has_time(latest, first)) return hold_end::box_ends;
  if (!has_time(std::min(it.deadline, latest), turn))
    return hold_end::too_many_held;
  return std::nullopt;
}

std::vector<submission_id> submission_hold::take_all() {
  std::vector<submission_id> out;
  for (const entry& it : held_) out.push_back(it.id);
  held_.clear();
  bytes_ = 0;
  return out;
}

void submission_hold::target_changed() {
  trust_ = trust::untried;
  pause_until_ = time_point::min();
}

void submission_hold::refused(time_point now) {
  trust_ = trust::untried;
  pause_until_ = now + limits_.pause_after_refusal;
}

}  // namespace kestrelreel

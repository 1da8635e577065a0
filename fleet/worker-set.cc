#include "fleet/worker-set.h"

#include <utility>

#include "fleet/worker-table.h"

namespace kestrelreel {

void worker_set::add(worker_view& it) { members_.try_emplace(it.ordinal, &it); }

void worker_set::remove(const worker_view& it) { members_.erase(it.ordinal); }

std::vector<worker_view*> worker_set::starting_after(uint64_t ordinal) const {
  std::vector<worker_view*> out;
  out.reserve(members_.size());
  const auto middle = members_.upper_bound(ordinal);
  for (auto it = middle; it != members_.end(); ++it) out.push_back(it->second);
  for (auto it = members_.begin(); it != middle; ++it) {
    out.push_back(it->second);
  }
  return out;
}

void worker_queue::set(worker_view& it, time_point at) {
  remove(it);
  it.*due_ = at;
  members_[{at, it.ordinal}] = &it;
}

void worker_queue::remove(worker_view& it) {
  const time_point at = std::exchange(it.*due_, time_point{});
  if (at != time_point{}) members_.erase({at, it.ordinal});
}

std::vector<worker_view*> worker_queue::due_by(time_point at) const {
  std::vector<worker_view*> out;
  for (const auto& [key, it] : members_) {
    if (key.first > at) break;
    out.push_back(it);
  }
  return out;
}

std::vector<worker_view*> worker_queue::last(size_t most) const {
  std::vector<worker_view*> out;
  for (auto it = members_.rbegin(); it != members_.rend() && out.size() < most;
       ++it) {
    out.push_back(it->second);
  }
  return out;
}

void worker_index::add(const std::string& key, worker_view& it) {
  members_[key].push_back(&it);
}

void worker_index::remove(const std::string& key, const worker_view& it) {
  const auto found = members_.find(key);
  if (found == members_.end()) return;
  std::erase(found->second, &it);
  if (found->second.empty()) members_.erase(found);
}

const std::vector<worker_view*>& worker_index::at(
    const std::string& key) const {
  static const std::vector<worker_view*> none;
  const auto found = members_.find(key);
  return found == members_.end() ? none : found->second;
}

worker_groups::worker_groups()
    : held_calls(&worker_view::held_until),
      watched(&worker_view::silence_check_at) {}

void worker_groups::remove(worker_view& it) {
  for (worker_set* set : {&calling, &freed, &proposing, &with_unsent_starts,
                          &left, &throttled, &recovering, &with_reservations}) {
    set->remove(it);
  }
  held_calls.remove(it);
  watched.remove(it);
}

}  // namespace kestrelreel

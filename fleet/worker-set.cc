#include "fleet/worker-set.h"

#include <algorithm>

#include "fleet/worker-table.h"

namespace kestrelreel {

void worker_set::add(worker_view& it) { members_.try_emplace(it.ordinal, &it); }

void worker_set::remove(const worker_view& it) { members_.erase(it.ordinal); }

std::vector<worker_view*> worker_set::from(uint64_t ordinal) const {
  std::vector<worker_view*> out;
  out.reserve(members_.size());
  const auto middle = members_.upper_bound(ordinal);
  for (auto it = middle; it != members_.end(); ++it) out.push_back(it->second);
  for (auto it = members_.begin(); it != middle; ++it) {
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

void worker_marks::remove(const worker_view& it) {
  for (worker_set* set : {&calling, &freed, &proposing, &unsent, &left,
                          &held_back, &with_rooms}) {
    set->remove(it);
  }
}

}  // namespace kestrelreel

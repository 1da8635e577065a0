#include "placement/worker-index.h"

namespace kestrelreel {

size_t worker_index::add() {
  if (unused_.empty()) {
    rows_.emplace_back();
    return rows_.size() - 1;
  }
  const size_t it = unused_.back();
  unused_.pop_back();
  return it;
}

void worker_index::remove(size_t row) {
  rows_[row] = {};
  unused_.push_back(row);
}

void worker_index::set(size_t row, const resource_amount& free, bool usable) {
  rows_[row] = {free.cpu.value, free.memory.value, free.accelerators.value,
                usable};
}

void worker_index::search(const resource_amount& size,
                          const std::function<void(size_t row)>& look) {
  const size_t n = rows_.size();
  size_t found = 0;
  if (next_ >= n) next_ = 0;
  for (size_t i = 0; i < n && found < candidates_wanted; ++i) {
    const size_t at = next_;
    next_ = next_ + 1 == n ? 0 : next_ + 1;
    const room_row& it = rows_[at];
    const bool fits = it.usable && size.cpu.value <= it.cpu &&
                      size.memory.value <= it.memory &&
                      size.accelerators.value <= it.accelerators;
    if (!fits) continue;
    look(at);
    ++found;
  }
}

}  // namespace kestrelreel

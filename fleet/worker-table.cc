#include "fleet/worker-table.h"

#include <algorithm>

namespace kestrelreel {

worker_view& worker_table::expect(const worker_id& id) {
  worker_view& it = views_[id];
  it.id = id;
  it.over_at = std::max(it.over_at, clock_.now() + leases_.over_after());
  return it;
}

worker_view* worker_table::find(const worker_id& id) {
  const auto it = views_.find(id);
  return it == views_.end() ? nullptr : &it->second;
}

/// The least offset seen belongs to the heartbeat that travelled fastest; a
/// slow clock moves it by the drift at most.
bool worker_table::too_old(worker_view& it,
                           const fleet::worker_beat& beat) const {
  if (beat.clock_ms() == 0) return false;
  const auto now = clock_.now().count();
  const int64_t offset = now - static_cast<int64_t>(beat.clock_ms());
  const int64_t passed = it.known ? (clock_.now() - it.heard).count() : 0;
  const int64_t drift = passed * leases_.drift_percent / 100;
  if (it.clock_offset != INT64_MAX) it.clock_offset += drift;
  const bool old = it.clock_offset != INT64_MAX &&
                   offset - it.clock_offset > leases_.answer_limit.count();
  it.clock_offset = std::min(it.clock_offset, offset);
  return old;
}

worker_view* worker_table::heard(const fleet::worker_beat& beat) {
  const worker_id id(beat.worker());
  worker_view& it = views_[id];
  it.id = id;
  if (it.known && beat.sequence() <= it.beat.sequence()) return nullptr;
  if (too_old(it, beat)) return nullptr;
  it.beat = beat;
  it.heard = clock_.now();
  it.known = true;
  it.rows.clear();
  for (const fleet::running_row& row : beat.running()) {
    it.rows[{to_key(row.task()), run_number(row.run())}] = row;
  }
  return &it;
}

}  // namespace kestrelreel

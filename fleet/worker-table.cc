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
bool worker_table::is_timely(worker_view& it,
                             const fleet::worker_beat& beat) const {
  if (beat.clock_ms() == 0) return true;
  const time_point now = clock_.now();
  const int64_t offset = now.count() - static_cast<int64_t>(beat.clock_ms());
  if (it.clock_offset == INT64_MAX) it.clock_offset = offset;
  const int64_t passed = it.known ? (now - it.offset_at).count() : 0;
  it.clock_offset += passed * leases_.drift_percent / 100;
  it.offset_at = now;
  const bool timely = offset - it.clock_offset <= leases_.answer_limit.count();
  it.clock_offset = std::min(it.clock_offset, offset);
  return timely;
}

worker_table::arrival worker_table::heard(const fleet::worker_beat& beat) {
  const worker_id id(beat.worker());
  worker_view& it = views_[id];
  it.id = id;
  if (it.known && beat.sequence() <= it.beat.sequence()) return {};
  const time_point now = clock_.now();
  const bool timely = is_timely(it, beat);
  if (!it.known) {
    it.first_told = now;
    it.first_clock_ms = beat.clock_ms();
  }
  it.beat = beat;
  it.told = now;
  if (timely) it.heard = now;
  it.known = true;
  it.rows.clear();
  for (const fleet::running_row& row : beat.running()) {
    it.rows[{to_key(row.task()), run_number(row.run())}] = row;
  }
  return {&it, timely};
}

}  // namespace kestrelreel

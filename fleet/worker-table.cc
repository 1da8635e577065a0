#include "fleet/worker-table.h"

#include <algorithm>

namespace kestrelreel {
namespace detail {

/// A heartbeat may come seconds late, by the users' protocol; this is eight of
/// the longest leases.
constexpr milliseconds remember_life{60'000};
/// Bounds the memory; each of 1,100 workers may end nearly twice in that time.
constexpr size_t most_lives = 2'048;

}  // namespace detail

void worker_table::drop_old_lives() {
  const time_point now = clock_.now();
  while (!over_since_.empty() &&
         (now - over_since_.front().first >= detail::remember_life ||
          over_since_.size() > detail::most_lives)) {
    over_.erase(over_since_.front().second);
    over_since_.pop_front();
  }
}

void worker_table::end_life(const worker_id& id) {
  views_.erase(id);
  if (over_.try_emplace(id).second) over_since_.emplace_back(clock_.now(), id);
  drop_old_lives();
}

bool worker_table::is_over(const worker_id& id) {
  drop_old_lives();
  return over_.contains(id);
}

bool worker_table::stays_over(const fleet::worker_beat& beat) {
  const worker_id id(beat.worker());
  if (!is_over(id)) return false;
  late_call& first = over_[id];
  const time_point now = clock_.now();
  if (!std::exchange(first.came, true)) {
    first.at = now;
    first.clock_ms = beat.clock_ms();
    return true;
  }
  const milliseconds own_clock(
      static_cast<int64_t>(beat.clock_ms() - first.clock_ms));
  if (now - first.at < sure_life || own_clock < sure_life) return true;
  over_.erase(id);
  return false;
}

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
  it.delay = std::max(milliseconds(0), milliseconds(offset - it.clock_offset));
  const bool timely = it.delay <= leases_.answer_limit;
  it.clock_offset = std::min(it.clock_offset, offset);
  return timely;
}

void worker_table::take_whole(worker_view& it, const fleet::worker_beat& beat) {
  it.beat = beat;
  it.beat.clear_running();
  it.rows.clear();
  for (const fleet::running_row& row : beat.running()) {
    it.rows[{to_key(row.task()), run_number(row.run())}] = row;
  }
}

/// False when the readings do not belong to the rows that are known.
bool worker_table::take_difference(worker_view& it,
                                   const fleet::worker_beat& beat) {
  for (const fleet::run_name& gone : beat.gone()) {
    it.rows.erase({to_key(gone.task()), run_number(gone.run())});
  }
  for (const fleet::running_row& row : beat.running()) {
    it.rows[{to_key(row.task()), run_number(row.run())}] = row;
  }
  it.beat.set_sequence(beat.sequence());
  it.beat.set_clock_ms(beat.clock_ms());
  it.beat.set_draining(beat.draining());
  it.beat.set_remaining_ms(beat.remaining_ms());
  it.beat.set_cold_left_ms(beat.cold_left_ms());
  *it.beat.mutable_ended() = beat.ended();
  const int n = beat.readings_size();
  if (n == 0) return true;
  if (n != beat.percents_size() || static_cast<size_t>(n) != it.rows.size()) {
    return false;
  }
  int i = 0;
  for (auto& [run, row] : it.rows) {
    row.set_reading(beat.readings(i));
    row.set_percent(beat.percents(i));
    ++i;
  }
  return true;
}

worker_table::arrival worker_table::heard(const fleet::worker_beat& beat) {
  const worker_id id(beat.worker());
  const bool differs = beat.base() != 0;
  const auto found = views_.find(id);
  const bool known = found != views_.end() && found->second.known;
  if (known && beat.sequence() <= found->second.beat.sequence()) return {};
  if (differs && (!known || found->second.beat.sequence() != beat.base())) {
    return {nullptr, false, true};
  }
  worker_view& it = views_[id];
  it.id = id;
  const time_point now = clock_.now();
  const bool timely = is_timely(it, beat);
  if (!differs) {
    take_whole(it, beat);
  } else if (!take_difference(it, beat)) {
    // All of it comes under the same sequence, and nothing may build on this.
    it.beat.set_sequence(beat.sequence() - 1);
    return {nullptr, false, true};
  }
  if (!it.known) {
    it.first_told = now;
    it.first_clock_ms = beat.clock_ms();
  }
  it.told = now;
  if (timely) it.heard = now;
  it.known = true;
  return {&it, timely, false};
}

}  // namespace kestrelreel

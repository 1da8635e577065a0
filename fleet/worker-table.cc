#include "fleet/worker-table.h"

#include <algorithm>

#include "base/text.h"
#include "fleet/beat-order.h"

namespace kestrelreel {
namespace detail {

/// A heartbeat may come seconds late, by the users' protocol; this is eight of
/// the longest leases.
constexpr milliseconds remember_life{60'000};
/// Bounds the memory; each of 1,100 workers may end nearly twice in that time.
constexpr size_t most_lives = 2'048;
/// How much later than its answer told a worker's call may be sent.
constexpr milliseconds call_slack{150};

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

void worker_table::clear() {
  by_id_.clear();
  by_name_.clear();
  by_place_.clear();
  marks_ = {};
  shared_names_.clear();
  views_.clear();
}

/// Out of all that refers to it.
void worker_table::drop(worker_view& it) {
  by_id_.erase(it.id.str());
  by_name_.remove(name_of(it.id), it);
  by_place_.remove(it.beat.machine(), it);
  by_place_.remove(it.beat.address(), it);
  marks_.remove(it);
}

void worker_table::erase(const worker_id& id) {
  const auto found = views_.find(id);
  if (found == views_.end()) return;
  drop(found->second);
  views_.erase(found);
}

void worker_table::end_life(const worker_id& id) {
  erase(id);
  if (over_.try_emplace(id).second) over_since_.emplace_back(clock_.now(), id);
  drop_old_lives();
}

bool worker_table::is_over(const worker_id& id) {
  drop_old_lives();
  return over_.contains(id);
}

bool worker_table::stays_over(const fleet::worker_beat& beat) {
  const worker_id id = life_of(beat);
  const worker_view* later = later_life(id);
  if (later == nullptr && !is_over(id)) return false;
  const auto [it, fresh] = over_.try_emplace(id);
  if (fresh) over_since_.emplace_back(clock_.now(), id);
  late_call& first = it->second;
  const time_point now = clock_.now();
  const bool spoken = later != nullptr && later->told >= first.at;
  if (!std::exchange(first.came, true) || spoken) {
    first.at = now;
    first.clock_ms = beat.clock_ms();
    return true;
  }
  const milliseconds own_clock(
      static_cast<int64_t>(beat.clock_ms() - first.clock_ms));
  return now - first.at < sure_life || own_clock < sure_life;
}

worker_view& worker_table::view_of(const worker_id& id) {
  if (worker_view* known = find(id)) return *known;
  worker_view& it = views_[id];
  it.id = id;
  it.ordinal = ++last_ordinal_;
  by_id_[it.id.str()] = &it;
  // Not before: a difference that comes first only asks for the whole.
  over_.erase(id);
  const std::string name = name_of(id);
  by_name_.add(name, it, [](const auto* a, const auto* b) {
    return born_of(a->id) < born_of(b->id);
  });
  if (lives_of(name).size() > 1) shared_names_.insert(name);
  marks_.freed.add(it);
  marks_.watched.set(it, clock_.now());
  return it;
}

void worker_table::take_place(worker_view& it, const fleet::worker_beat& beat) {
  const auto move = [&](const std::string& from, const std::string& to) {
    if (from == to && it.known) return;
    if (!from.empty()) by_place_.remove(from, it);
    if (!to.empty()) by_place_.add(to, it);
  };
  move(it.beat.machine(), beat.machine());
  move(it.beat.address(), beat.address());
}

bool worker_table::has_earlier_life(const std::string& name) {
  drop_old_lives();
  const std::string prefix = str_cat(name, birth_mark);
  const auto it = over_.lower_bound(worker_id(prefix));
  const bool over = it != over_.end() && it->first.str().starts_with(prefix);
  return over || lives_of(name).size() > 1;
}

std::set<std::string> worker_table::shared_names() {
  std::erase_if(shared_names_, [this](const std::string& name) {
    return lives_of(name).size() < 2;
  });
  return shared_names_;
}

/// Of several lives only the one that called last may be living.
void worker_table::review_doubts(const std::string& name) {
  const std::vector<worker_view*>& lives = lives_of(name);
  time_point last{};
  for (const worker_view* it : lives) last = std::max(last, it->told);
  for (worker_view* it : lives) it->doubtful = it->told < last;
}

const worker_view* worker_table::later_life(const worker_id& id) {
  const std::vector<worker_view*>& lives = lives_of(name_of(id));
  if (lives.empty() || born_of(lives.back()->id) <= born_of(id)) return nullptr;
  return lives.back();
}

worker_view& worker_table::expect(const worker_id& id) {
  worker_view& it = view_of(id);
  it.over_at = std::max(it.over_at, clock_.now() + leases_.over_after());
  return it;
}

std::optional<worker_id> worker_table::life_before(
    const worker_view& it) const {
  std::optional<worker_id> first;
  for (const auto& neighbours :
       {at_place(it.beat.address()), at_place(it.beat.machine()),
        lives_of(name_of(it.id))}) {
    for (const worker_view* o : neighbours) {
      if (o == &it || o->told >= it.first_told) continue;
      if (!first || o->id < *first) first = o->id;
    }
  }
  return first;
}

worker_view* worker_table::find(const worker_id& id) {
  const auto it = by_id_.find(id.str());
  return it == by_id_.end() ? nullptr : it->second;
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

/// A call that got no answer is followed by one after the answer limit, by the
/// worker's own clock. One that follows sooner had an answer, or one that came
/// no sooner than a long pause said.
bool worker_table::shows_answer(const worker_view& it,
                                const fleet::worker_beat& next) const {
  if (!it.known || next.sequence() != it.beat.sequence() + 1) return false;
  const milliseconds own(
      static_cast<int64_t>(next.clock_ms() - it.beat.clock_ms()));
  if (own < leases_.answer_limit) return true;
  return it.pause + detail::call_slack >= leases_.answer_limit &&
         own >= it.pause;
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
  const worker_id id = life_of(beat);
  const bool differs = beat.base() != 0;
  const worker_view* found = find(id);
  const bool known = found != nullptr && found->known;
  if (known) {
    const worker_view& view = *found;
    const beat_order order = order_of(view.beat, view.told, beat, clock_.now());
    if (order == beat_order::overtaken) return {};
    if (order == beat_order::misfit) return {nullptr, false, false, true};
  }
  if (differs && (!known || found->beat.sequence() != beat.base())) {
    return {nullptr, false, true};
  }
  worker_view& it = view_of(id);
  const time_point now = clock_.now();
  it.answered = it.answered || shows_answer(it, beat);
  const bool timely = is_timely(it, beat);
  if (!differs) {
    take_place(it, beat);
    take_whole(it, beat);
  } else if (!take_difference(it, beat)) {
    // All of it comes under the same sequence, and nothing may build on this.
    it.beat.set_sequence(beat.sequence() - 1);
    return {nullptr, false, true};
  }
  if (!it.known) {
    it.first_told = now;
    it.first_clock_ms = beat.clock_ms();
    it.follows = life_before(it);
  }
  it.told = now;
  it.lapsed.clear();
  if (timely) it.heard = now;
  it.known = true;
  it.doubtful = false;
  if (shared_names_.contains(beat.worker())) review_doubts(beat.worker());
  return {&it, timely, false};
}

}  // namespace kestrelreel

#include "fleet/worker-table.h"

#include <algorithm>
#include <utility>

#include "base/text.h"
#include "fleet/beat-order.h"

namespace kestrelreel {
namespace detail {

/// Time for which ended incarnations are remembered. The platform's protocol
/// allows heartbeats that are seconds late; this is eight times the longest
/// lease.
constexpr milliseconds remember_ended_for{60'000};
/// Bounds the memory: each of 1,100 workers may end nearly twice in that time.
constexpr size_t max_ended_incarnations = 2'048;
/// Maximum delay of a worker's call after the interval that its answer set.
constexpr milliseconds call_slack{150};
constexpr int64_t percent = 100;

}  // namespace detail

void worker_table::drop_old_incarnations() {
  const time_point now = clock_.now();
  while (!ended_at_.empty() &&
         (now - ended_at_.front().first >= detail::remember_ended_for ||
          ended_at_.size() > detail::max_ended_incarnations)) {
    ended_.erase(ended_at_.front().second);
    ended_at_.pop_front();
  }
}

void worker_table::clear() {
  by_id_.clear();
  by_name_.clear();
  by_place_.clear();
  groups_ = {};
  shared_names_.clear();
  views_.clear();
}

/// Removes the worker from all indexes and sets.
void worker_table::drop(worker_view& it) {
  by_id_.erase(it.id.str());
  by_name_.remove(worker_name_of(it.id), it);
  by_place_.remove(it.beat.machine(), it);
  by_place_.remove(it.beat.address(), it);
  groups_.remove(it);
}

void worker_table::erase(const worker_id& id) {
  const auto found = views_.find(id);
  if (found == views_.end()) return;
  drop(found->second);
  views_.erase(found);
}

void worker_table::end_incarnation(const worker_id& id) {
  erase(id);
  if (ended_.try_emplace(id).second) ended_at_.emplace_back(clock_.now(), id);
  drop_old_incarnations();
}

bool worker_table::is_ended(const worker_id& id) {
  drop_old_incarnations();
  return ended_.contains(id);
}

bool worker_table::stays_ended(const fleet::worker_beat& beat) {
  const worker_id id = incarnation_of(beat);
  const worker_view* later = later_incarnation(id);
  if (later == nullptr && !is_ended(id)) return false;
  const auto [it, fresh] = ended_.try_emplace(id);
  if (fresh) ended_at_.emplace_back(clock_.now(), id);
  late_call& first = it->second;
  const time_point now = clock_.now();
  const bool later_called =
      later != nullptr && later->last_heartbeat_at >= first.at;
  if (!std::exchange(first.received, true) || later_called ||
      successor_called(beat, first.at)) {
    first.at = now;
    first.clock_ms = beat.clock_ms();
    return true;
  }
  const milliseconds worker_elapsed(
      static_cast<int64_t>(beat.clock_ms() - first.clock_ms));
  return now - first.at < incarnation_proof_time ||
         worker_elapsed < incarnation_proof_time;
}

/// True when another incarnation at the machine or the address of `beat`, which
/// got an answer, has called since then: only one of them is alive.
bool worker_table::successor_called(const fleet::worker_beat& beat,
                                    time_point since) const {
  const worker_id id = incarnation_of(beat);
  for (const auto& neighbours :
       {at_place(beat.machine()), at_place(beat.address())}) {
    for (const worker_view* it : neighbours) {
      if (it->id != id && it->got_answer && it->last_heartbeat_at >= since)
        return true;
    }
  }
  return false;
}

worker_view& worker_table::find_or_add(const worker_id& id) {
  if (worker_view* known = find(id)) return *known;
  worker_view& it = views_[id];
  it.id = id;
  it.ordinal = ++last_ordinal_;
  by_id_[it.id.str()] = &it;
  // A difference that arrives first only requests the whole heartbeat, and must
  // not reinstate the incarnation: so the entry is erased only here.
  ended_.erase(id);
  const std::string name = worker_name_of(id);
  by_name_.add(name, it, [](const auto* a, const auto* b) {
    return start_time_of(a->id) < start_time_of(b->id);
  });
  if (incarnations_of(name).size() > 1) shared_names_.insert(name);
  groups_.freed.add(it);
  groups_.watched.set(it, clock_.now());
  return it;
}

void worker_table::update_place(worker_view& it,
                                const fleet::worker_beat& beat) {
  const auto update = [&](const std::string& from, const std::string& to) {
    if (from == to && it.has_heartbeat) return;
    if (!from.empty()) by_place_.remove(from, it);
    if (!to.empty()) by_place_.add(to, it);
  };
  update(it.beat.machine(), beat.machine());
  update(it.beat.address(), beat.address());
}

bool worker_table::has_earlier_incarnation(const std::string& name) {
  drop_old_incarnations();
  const std::string prefix = str_cat(name, incarnation_separator);
  const auto it = ended_.lower_bound(worker_id(prefix));
  const bool ended = it != ended_.end() && it->first.str().starts_with(prefix);
  return ended || incarnations_of(name).size() > 1;
}

std::set<std::string> worker_table::shared_names() {
  std::erase_if(shared_names_, [this](const std::string& name) {
    return incarnations_of(name).size() < 2;
  });
  return shared_names_;
}

/// Of several incarnations only the one that called last can be alive.
void worker_table::update_superseded(const std::string& name) {
  const std::vector<worker_view*>& incarnations = incarnations_of(name);
  time_point last{};
  for (const worker_view* it : incarnations)
    last = std::max(last, it->last_heartbeat_at);
  for (worker_view* it : incarnations)
    it->superseded = it->last_heartbeat_at < last;
}

const worker_view* worker_table::later_incarnation(const worker_id& id) {
  const std::vector<worker_view*>& incarnations =
      incarnations_of(worker_name_of(id));
  if (incarnations.empty() ||
      start_time_of(incarnations.back()->id) <= start_time_of(id))
    return nullptr;
  return incarnations.back();
}

worker_view& worker_table::expect(const worker_id& id) {
  worker_view& it = find_or_add(id);
  it.lease_expires_at =
      std::max(it.lease_expires_at, clock_.now() + leases_.expiry_delay());
  return it;
}

std::optional<worker_id> worker_table::find_predecessor(
    const worker_view& it) const {
  std::optional<worker_id> first;
  for (const auto& neighbours :
       {at_place(it.beat.address()), at_place(it.beat.machine()),
        incarnations_of(worker_name_of(it.id))}) {
    for (const worker_view* other : neighbours) {
      if (other == &it || other->last_heartbeat_at >= it.first_heartbeat_at)
        continue;
      if (!first || other->id < *first) first = other->id;
    }
  }
  return first;
}

worker_view* worker_table::find(const worker_id& id) {
  const auto it = by_id_.find(id.str());
  return it == by_id_.end() ? nullptr : it->second;
}

/// The smallest clock offset belongs to the heartbeat with the shortest transit
/// time; a slow clock shifts the offset by at most the drift.
bool worker_table::is_timely(worker_view& it,
                             const fleet::worker_beat& beat) const {
  if (beat.clock_ms() == 0) return true;
  const time_point now = clock_.now();
  const int64_t offset = now.count() - static_cast<int64_t>(beat.clock_ms());
  if (it.clock_offset == INT64_MAX) it.clock_offset = offset;
  const int64_t passed = it.has_heartbeat ? (now - it.offset_at).count() : 0;
  // Rounded down with each call, the drift of frequent calls would be lost.
  it.drift_remainder += passed * leases_.drift_percent;
  it.clock_offset += it.drift_remainder / detail::percent;
  it.drift_remainder %= detail::percent;
  it.offset_at = now;
  it.delay = std::max(milliseconds(0), milliseconds(offset - it.clock_offset));
  const bool timely = it.delay <= leases_.answer_limit;
  it.clock_offset = std::min(it.clock_offset, offset);
  return timely;
}

/// A worker without an answer calls again after the answer limit, which a slow
/// clock of its own shows as less. A call that follows sooner shows that the
/// worker got an answer. So does a call that waited out a call interval of
/// about the limit or longer.
bool worker_table::shows_answer(const worker_view& it,
                                const fleet::worker_beat& next) const {
  if (!it.has_heartbeat || next.sequence() != it.beat.sequence() + 1 ||
      next.clock_ms() == 0)
    return false;
  const milliseconds elapsed(
      static_cast<int64_t>(next.clock_ms() - it.beat.clock_ms()));
  const milliseconds least_unanswered =
      leases_.answer_limit - leases_.answer_limit * leases_.drift_percent / 100;
  if (elapsed < least_unanswered) return true;
  return it.call_interval + detail::call_slack >= leases_.answer_limit &&
         elapsed >= it.call_interval;
}

void worker_table::apply_whole(worker_view& it,
                               const fleet::worker_beat& beat) {
  it.beat = beat;
  it.beat.clear_running();
  const auto before = std::exchange(it.rows, {});
  for (const fleet::running_row& row : beat.running()) {
    it.rows[{to_key(row.task()), run_number(row.run())}] = row;
  }
  if (!may_omit_ends(beat)) return;
  for (const auto& [run, row] : before) {
    if (!it.rows.contains(run)) it.unlisted_ends.insert(run);
  }
}

/// Applies a difference. Returns false when the readings do not match the known
/// rows.
bool worker_table::apply_difference(worker_view& it,
                                    const fleet::worker_beat& beat) {
  for (const fleet::run_name& gone : beat.gone()) {
    const run_key run{to_key(gone.task()), run_number(gone.run())};
    if (it.rows.erase(run) > 0) it.unlisted_ends.insert(run);
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

/// An incomplete list leaves out the latest ends.
void worker_table::update_ends(worker_view& it) {
  it.listed_ends.clear();
  for (const fleet::run_end& end : it.beat.ended()) {
    it.listed_ends.insert({to_key(end.task()), run_number(end.run())});
  }
  if (!may_omit_ends(it.beat)) return it.unlisted_ends.clear();
  for (const run_key& run : it.listed_ends) it.unlisted_ends.erase(run);
}

worker_table::arrival worker_table::receive_heartbeat(
    const fleet::worker_beat& beat) {
  const worker_id id = incarnation_of(beat);
  const bool is_difference = beat.base() != 0;
  const worker_view* found = find(id);
  const bool known = found != nullptr && found->has_heartbeat;
  if (known) {
    const worker_view& view = *found;
    const heartbeat_order order = compare_heartbeats(
        view.beat, view.last_heartbeat_at, beat, clock_.now());
    if (order == heartbeat_order::overtaken) return {};
    if (order == heartbeat_order::inconsistent)
      return {nullptr, false, false, true};
  }
  if (is_difference && (!known || found->beat.sequence() != beat.base())) {
    return {nullptr, false, true};
  }
  worker_view& it = find_or_add(id);
  const time_point now = clock_.now();
  it.got_answer = it.got_answer || shows_answer(it, beat);
  const bool timely = is_timely(it, beat);
  if (!is_difference) {
    update_place(it, beat);
    apply_whole(it, beat);
  } else if (!apply_difference(it, beat)) {
    // The whole heartbeat arrives with the same sequence, and no difference may
    // be based on this state.
    it.beat.set_sequence(beat.sequence() - 1);
    return {nullptr, false, true};
  }
  update_ends(it);
  if (!it.has_heartbeat) {
    it.first_heartbeat_at = now;
    it.first_clock_ms = beat.clock_ms();
    it.predecessor = find_predecessor(it);
  }
  it.last_heartbeat_at = now;
  it.listed_clock_ms = beat.clock_ms();
  it.lapsed.clear();
  if (timely) it.last_timely_heartbeat_at = now;
  it.has_heartbeat = true;
  it.superseded = false;
  if (shared_names_.contains(beat.worker())) update_superseded(beat.worker());
  return {&it, timely, false};
}

}  // namespace kestrelreel

#include "support/emulator/emulated-worker.h"

#include <algorithm>
#include <cmath>

#include "base/text.h"
#include "fleet/task-key.h"

namespace kestrelreel::emulator {
namespace detail {

/// An end is told so soon after it.
constexpr milliseconds end_told_after{50};
constexpr double hundred = 100;

uint32_t percent_of(const emulated_run& run, time_point now) {
  if (run.spec.long_running()) {
    return now - run.since >= serving_start ? 100 : 50;
  }
  return static_cast<uint32_t>(
      std::min(hundred - 1, hundred * run.done_ms / run.work_ms));
}

}  // namespace detail

size_t emulated_worker::find(const fleet::task_ref& task,
                             uint32_t number) const {
  const auto found =
      std::find_if(runs.begin(), runs.end(), [&](const auto& it) {
        return to_key(it.task) == to_key(task) && it.number == number;
      });
  return static_cast<size_t>(found - runs.begin());
}

void emulated_worker::end(size_t at, fleet::run_outcome outcome,
                          const std::string& saved, time_point now) {
  fleet::run_end& it = ended.emplace_back();
  it.set_number(++ends);
  *it.mutable_task() = runs[at].task;
  it.set_run(runs[at].number);
  it.set_outcome(outcome);
  it.set_saved(saved);
  runs.erase(runs.begin() + static_cast<std::ptrdiff_t>(at));
  next_beat = std::min(next_beat, now + detail::end_told_after);
}

void emulated_worker::begin_anew() {
  const std::string name = beat.worker().substr(0, beat.worker().find('-'));
  beat.set_worker(str_cat(name, "-", ++lives));
  beat.set_sequence(0);
  runs.clear();
  ended.clear();
  ends = 0;
}

void emulated_worker::fill_beat(time_point now) {
  beat.set_sequence(beat.sequence() + 1);
  beat.set_clock_ms(static_cast<uint64_t>(now.count()));
  beat.clear_running();
  beat.clear_ended();
  for (const emulated_run& it : runs) {
    const bool lasts = it.spec.long_running();
    fleet::running_row& row = *beat.add_running();
    *row.mutable_task() = it.task;
    row.set_run(it.number);
    row.set_saved(lasts ? "" : str_cat(it.done_ms));
    row.set_percent(detail::percent_of(it, now));
    row.set_reading(lasts ? std::round(it.tail_ms) : it.use_milli);
  }
  for (const fleet::run_end& it : ended) *beat.add_ended() = it;
}

void emulated_worker::obey(const fleet::worker_orders& orders, time_point now) {
  while (!ended.empty() && ended.front().number() <= orders.last_end()) {
    ended.pop_front();
  }
  for (const fleet::stop_order& it : orders.stops()) {
    const size_t at = find(it.task(), it.run());
    if (at >= runs.size()) continue;
    end(at, fleet::run_stopped, str_cat(runs[at].done_ms), now);
  }
  for (const fleet::pace_order& it : orders.paces()) {
    const size_t at = find(it.task(), it.run());
    if (at < runs.size()) runs[at].pace = it.percent() / detail::hundred;
  }
}

}  // namespace kestrelreel::emulator

// What strikes the workers and the leader, and what it came to.
#include <algorithm>
#include <cmath>
#include <numbers>
#include <utility>

#include "base/text.h"
#include "support/emulator/emulation.h"

namespace kestrelreel::emulator {
namespace detail {

/// A room that shrank counts after so long.
constexpr milliseconds room_counts_after{4'000};

}  // namespace detail

bool emulation::is_within(time_point begin, double at_s, double for_s) const {
  const double at =
      static_cast<double>((clock_.at - begin).count()) / detail::ms_per_s;
  return at >= at_s && at < at_s + for_s;
}

void emulation::crash_or_return(emulated_worker& it) {
  const auto due = [&](time_point at) {
    return at != time_point{} && clock_.at >= at;
  };
  if (due(it.crashes_at)) {
    ++out_.crashes;
    it.runs.clear();
    it.crashes_at = {};
    it.back_at =
        clock_.at +
        milliseconds(static_cast<int64_t>(pattern_.back_s * detail::ms_per_s));
  } else if (due(it.back_at)) {
    it.back_at = {};
    it.begin_anew();
  }
}

void emulation::resize_rooms(time_point begin) {
  const bool shrunk =
      is_within(begin, pattern_.shrink_at_s, pattern_.shrink_for_s);
  if (shrunk == shrunk_) return;
  shrunk_ = shrunk;
  const auto n = static_cast<size_t>(pattern_.shrink_share *
                                     static_cast<double>(workers_.size()));
  for (size_t i = 0; i < n; ++i) {
    workers_[i].resized_at = clock_.at;
    workers_[i].beat.set_cpu_milli(pattern_.worker_cpu_milli /
                                   (shrunk ? 2 : 1));
  }
}

void emulation::count_failed() {
  for (const auto& [number, job] : controller_.book().jobs()) {
    if (job.phase != fleet::job_failed) continue;
    const bool crashes = crashing_.contains(number.value());
    ++(crashes ? out_.given_up : out_.wrongly_given_up);
  }
}

void emulation::check_room(const emulated_worker& it) {
  uint64_t taken = 0;
  for (const emulated_run& run : it.runs) {
    if (!run.spec.fills()) taken += run.spec.cpu_milli();
  }
  const bool counts = it.resized_at == time_point{} ||
                      clock_.at - it.resized_at > detail::room_counts_after;
  if (counts && taken > it.beat.cpu_milli()) ++out_.over_room;
}

}  // namespace kestrelreel::emulator

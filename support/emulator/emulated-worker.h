// One emulated worker: what runs there, what it tells and what it is told.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "base/clock.h"
#include "proto/fleet.pb.h"

namespace kestrelreel::emulator {

/// A lasting task serves after so long.
constexpr milliseconds serving_start{500};

/// A run at a worker.
struct emulated_run {
  fleet::task_ref task;
  uint32_t number = 0;
  fleet::step_spec spec;
  /// Work at full pace, in all and done.
  double work_ms = 0;
  double done_ms = 0;
  /// The share that it was told to work at, and the processors that it uses.
  double pace = 1;
  double use_milli = 0;
  /// Of a serving task, the tail of its answers' times.
  double tail_ms = 0;
  time_point since{};
};

/// A worker; the platform's rules of orders as far as the patterns need them.
struct emulated_worker {
  fleet::worker_beat beat;
  std::vector<emulated_run> runs;
  std::deque<fleet::run_end> ended;
  uint64_t ends = 0;
  time_point next_beat{};
  /// It crashes then, as what it began makes it; later it is back.
  time_point crashes_at{};
  time_point back_at{};
  unsigned lives = 1;
  /// When its room last changed.
  time_point resized_at{};

  /// The place of a run among `runs`; their number when it isn't there.
  size_t find(const fleet::task_ref& task, uint32_t number) const;
  /// Ends the run at that place, and calls soon.
  void end(size_t at, fleet::run_outcome outcome, const std::string& saved,
           time_point now);
  /// Begins its next life: it knows and holds nothing of before.
  void begin_anew();
  /// Makes `beat` the next heartbeat.
  void fill_beat(time_point now);
  /// Carries out all but the starts.
  void obey(const fleet::worker_orders& orders, time_point now);
};

}  // namespace kestrelreel::emulator

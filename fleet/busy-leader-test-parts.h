// What the world of a leader whose steps cost time is made of.
#pragma once

#include <cstdint>
#include <ctime>
#include <deque>
#include <string>

#include "fleet/slow-test-parts.h"

namespace kestrelreel::busy {

using slow::answer_limit;
using slow::end_ledger;
using slow::machine;

constexpr milliseconds step_time{5};
constexpr double us_per_step = 5'000;
constexpr milliseconds tick_interval{100};
constexpr milliseconds pass_on_interval{10};
/// Two syncs and a way.
constexpr milliseconds commit_time{15};
constexpr milliseconds short_work{640};
/// A worker calls again so long after an end.
constexpr milliseconds after_end{50};
/// The users bear a lasting task away for 6 s, and for 3 s more while there is
/// room for it.
constexpr milliseconds most_away{9'000};
/// An order that its worker gets later than this after the log kept it holds
/// room for nothing: a call's time, and a quarter for its way.
constexpr milliseconds most_order_lag{1'250};

/// What a step of the leader takes, in microseconds.
struct costs {
  double read = 20;
  double answer = 20;
  double look = 1;
  double room_look = 6;
  double entry = 100;
  double turn = 100;
};

struct setting {
  const char* name;
  int workers;
  costs cost;
  // Jobs a second, each of so many short tasks.
  double jobs_per_s = 8;
  uint32_t width = 8;
  // The leader's share of a core: its steps take what they take here, by that
  // share, instead of `cost`. 0: `cost` counts.
  double processor_share = 0;
  int intakes = 4;
  // The workers' first calls are spread over so long.
  milliseconds first_calls{200};
  // An answer sends each worker back to the first box that it called.
  bool sends_home = false;
};

/// Processor time of this thread so far, in microseconds.
inline double thread_us() {
  timespec it{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &it);
  return static_cast<double>(it.tv_sec) * 1e6 +
         static_cast<double>(it.tv_nsec) / 1e3;
}

/// What a run came to.
struct outcome {
  std::string wrong;
  int lapsed = 0;
  int done = 0;
  milliseconds longest_away{0};
  milliseconds longest_order_lag{0};
  // Of a living worker between two calls that the leader read.
  milliseconds longest_unread{0};
  // Starts of tasks that had ended well.
  int started_again = 0;
  // Processor time that the leader took here, in microseconds, and the answers
  // with orders that it gave.
  double leader_us = 0;
  uint64_t answers = 0;
};

struct caller {
  machine it;
  int box = 0;
  bool lost = false;
  bool lapsed = false;
  // The last call that the leader read, and when.
  uint64_t read = 0;
  time_point read_at{};
};
struct sent_batch {
  time_point at;
  fleet::beat_batch batch;
};
struct intake_box {
  intake_box(clock_source& clock, metrics_registry& metrics)
      : intake({}, clock, metrics) {}
  beat_intake intake;
  std::deque<sent_batch> sent;
  std::deque<slow::passed_answer> replies;
  // How long the leader's answers to this box, and its calls, are on their way.
  milliseconds answers_late{0};
  milliseconds calls_late{0};
};
struct entry {
  time_point lasts;
  fleet::fleet_command command;
};
struct reply {
  size_t caller;
  uint64_t sequence;
  fleet::fleet_response response;
};

}  // namespace kestrelreel::busy

// Parts of the simulated workers in acknowledged-end-test-world.h.
#pragma once

#include <deque>
#include <map>
#include <string>

#include "base/clock.h"
#include "fleet/task-key.h"
#include "proto/fleet.pb.h"

namespace kestrelreel::acknowledged {

constexpr milliseconds step_time{50};
constexpr milliseconds answer_limit{1'000};
constexpr milliseconds call_interval{200};
constexpr uint32_t slots = 4;

struct scenario {
  const char* name;
  /// Most ends in a heartbeat; 0: no limit.
  uint32_t max_ended = 0;
  bool gangs = false;
  /// Ends in calls that are put off are sent to the leader.
  bool sends_waiting_ends = true;
  /// Steps between two events of a kind, on average; 0: none.
  uint64_t leader_change = 0;
  uint64_t crash = 0;
  /// Calls between the periods in which a worker is put off, on average.
  uint64_t silence = 30;
  /// Probability per step that the log commits what was proposed.
  uint64_t commit_percent = 60;
};

struct simulated_run {
  time_point ends_at;
  fleet::run_outcome outcome = fleet::run_done;
};

/// A successful end, by the number of lapses of its worker's lease so far.
struct successful_end {
  run_key run;
  unsigned lapses = 0;
  bool started_after = false;
  /// The lease lapsed between the end and its acknowledgement: the end need not
  /// count.
  bool lapsed = false;
};

struct simulated_worker {
  std::string name;
  std::string address;
  uint64_t sequence = 0;
  uint64_t last_end = 0;
  std::map<run_key, simulated_run> runs;
  std::deque<fleet::run_end> ends;
  std::map<uint64_t, successful_end> successes;
  // The highest run per task that was stopped or has ended.
  std::map<task_key, run_number> over;
  bool calling = false;
  time_point called_at{};
  time_point next_call{};
  time_point lease_ends_at{};
  time_point put_off_until{};
  unsigned lapses = 0;
};

}  // namespace kestrelreel::acknowledged

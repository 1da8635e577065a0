// Limits, intervals and addresses of a controller.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "fleet/scheduler-settings.h"
#include "fleet/worker-table.h"
#include "scheduling/settings.h"

namespace kestrelreel {

/// Limits, intervals and addresses of a controller.
struct controller_settings {
  lease_settings leases;
  scheduler_settings scheduling;
  load_decisions decisions;
  /// Where workers reach this box, and up to how many workers send their
  /// heartbeats to the leader directly, which saves a hop of up to 10 ms
  /// through another box. A leader with 0.32 cores handles 700 heartbeats a
  /// second: 140 workers at 5 each.
  std::string heartbeat_address;
  size_t max_direct_workers = 140;
  /// The heartbeat interval while tasks wait or run, and when idle.
  milliseconds busy_heartbeat_interval{200};
  milliseconds idle_heartbeat_interval{300};
  /// The highest heartbeat rate over all control boxes. With more workers, each
  /// calls less often, except to report ended runs; idle workers use half the
  /// rate. The leader spends about 10 us on a heartbeat, so that this rate
  /// stays below a tenth of a core.
  uint64_t max_heartbeats_per_s = 4'000;
  uint64_t max_idle_heartbeats_per_s = 2'000;
  /// How long an idle worker's call is held open while heartbeats are
  /// infrequent: new work then starts at once instead of at the next heartbeat.
  milliseconds idle_call_hold{500};
  /// How often a second the leader evaluates readings and sets paces, over all
  /// workers. One evaluation takes 10 to 15 us. Readings are averages over half
  /// a second, so that little is lost while each worker is evaluated once in
  /// that time.
  uint64_t max_pace_reviews_per_s = 2'500;
  /// Events that arrive within this interval are decided together.
  milliseconds decision_interval{15};
  /// The longest time an answer to a worker waits for the log to commit.
  milliseconds max_answer_wait{500};
  /// Maximum number of workers answered in one turn, those whose leases end
  /// first. An answer takes a leader with 0.39 cores 0.1 to 0.4 ms, so that a
  /// turn delays reading and the log by about 50 ms. A lagging leader answers
  /// fewer, in inverse proportion to the stretch: the answers of a turn are
  /// sent together at its end.
  size_t max_answers_per_turn = 128;
  /// A worker drops an answer that is larger than this when encoded.
  size_t max_answer_bytes = size_t{4} << 20;
  /// The longest time a worker takes to stop a run.
  milliseconds worker_stop{1'000};
  /// Data centres that may be evacuated, in addition to those that workers
  /// report.
  std::vector<std::string> data_centres;
  /// How long a finished job stays in the book.
  milliseconds finished_job_retention{125'000};
  /// Maximum number of tasks of live jobs, which fit into the memory of a small
  /// box.
  uint64_t max_live_tasks = 60'000;
  /// The retry delay returned to a refused caller.
  milliseconds retry_after{1'000};
  /// The time of day in ms since 1970; used only for due times.
  std::function<uint64_t()> wall_clock_ms;
};

}  // namespace kestrelreel

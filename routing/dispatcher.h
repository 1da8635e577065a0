// Decides for one service at one entry box which request goes to which runner
// and when, which one waits, and which one is refused. Pure: time comes from a
// clock, decisions come out as values.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/verdict.h"
#include "routing/fair-queue.h"
#include "routing/retry-budget.h"
#include "routing/runner-pool.h"

namespace kestrelreel {

/// What the dispatcher needs to know of a request.
struct request_info {
  uint64_t id = 0;
  std::string tenant;
  request_class kind = request_class::latency_critical;
  time_point deadline{};
  /// Running it more than once does no harm.
  bool repeatable = false;
};

/// A refusal: nothing of the request was sent.
struct refusal {
  request_error error;
  /// When the caller should come back.
  milliseconds retry_after{};
};

/// What became of a request: it goes to `target`, or is refused.
struct dispatch_event {
  uint64_t id = 0;
  runner* target = nullptr;
  std::optional<refusal> refused;
};

/// Limits of one service's queue and retries.
struct dispatch_limits {
  size_t queued = 200;
  uint64_t retry_percent = 10;
};

/// Counts since the start.
struct dispatch_counters {
  uint64_t accepted = 0;
  uint64_t sent = 0;
  uint64_t retried = 0;
  uint64_t refused_full = 0;
  uint64_t refused_late = 0;
  uint64_t refused_no_runner = 0;
  uint64_t expired = 0;
};

/// The dispatcher of one service.
class dispatcher {
 public:
  dispatcher(dispatch_limits limits, runner_choice& choice,
             random_source& random, clock_source& clock);

  /// The runners; `begin` and `end` are the dispatcher's alone.
  runner_pool& pool() { return pool_; }

  /// A new request. Its event comes out of `take_events`, now or later.
  void submit(const request_info& request);
  /// An exchange ended. The runner's slot is free again.
  void finish(runner& target, exchange_result result, milliseconds latency);
  /// Asks for another try after an exchange that may be repeated. Takes from
  /// the budget; when allowed, an event with another runner follows.
  bool retry(const request_info& request, const std::set<task_id>& tried);
  /// The caller is gone; no event will come for a waiting request.
  void abandon(uint64_t id);
  /// New runners or time passed: serves and expires what waits.
  void tick();

  std::vector<dispatch_event> take_events();
  const dispatch_counters& counters() const { return counters_; }
  size_t queued() const { return queue_.size(); }

 private:
  void serve_queue();
  void start(uint64_t id, runner& target);
  void refuse(uint64_t id, std::string reason, milliseconds wait);
  milliseconds expected_wait(size_t ahead) const;
  milliseconds jittered(milliseconds wait);

  dispatch_limits limits_;
  random_source& random_;
  clock_source& clock_;
  runner_pool pool_;
  fair_queue queue_;
  retry_budget budget_;
  std::vector<dispatch_event> events_;
  dispatch_counters counters_;
  // Moving average of the time between two answers while requests waited.
  double answer_gap_ms_ = 0;
  std::optional<time_point> last_answer_;
};

}  // namespace kestrelreel

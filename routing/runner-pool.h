// The runners of one service as an entry box sees them: slots, load, latency
// and failures, and the choice among them.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "base/clock.h"
#include "base/ids.h"
#include "proto/peer.pb.h"

namespace kestrelreel {

/// One backend server of a service.
struct runner {
  task_id task;
  attempt_number attempt;
  std::string address;
  /// Slots that are always this box's, and those lent until `lent_until`.
  uint32_t fixed_slots = 0;
  uint32_t lent_slots = 0;
  time_point lent_until{};
  /// Listed by the holder; one that is not only ends what it has.
  bool listed = false;
  bool leaving = false;

  uint32_t in_flight = 0;
  /// Moving averages of answers' latency and of the share of failures.
  double latency_ms = 0;
  double failure_share = 0;
  uint32_t failures_in_row = 0;
  uint32_t ejections = 0;
  time_point ejected_until{};

  /// Requests that this box may have at the runner at once, when the one more
  /// ends by `until`. Lent slots are not used past the end of the loan.
  uint32_t slots(time_point until) const {
    return fixed_slots + (until < lent_until ? lent_slots : 0);
  }
  /// Lent slots that the box holds, by loan or by requests in flight.
  uint32_t held_slots() const {
    const uint32_t used = in_flight > fixed_slots ? in_flight - fixed_slots : 0;
    return std::max(lent_slots, used);
  }
};

/// How an exchange with a runner went, as far as its health goes.
enum class exchange_result {
  good,
  /// Failed, or answered with a server error.
  failed,
  /// Refused by the runner before running, such as a 503.
  refused,
  /// Ended by the caller or its deadline: says nothing of the runner.
  abandoned,
};

/// A way of choosing among runners that have a free slot.
class runner_choice {
 public:
  virtual ~runner_choice() = default;
  /// One of `candidates`, which holds at least one.
  virtual runner* choose(const std::vector<runner*>& candidates) = 0;
};

/// The runner with the least expected wait: requests in flight, weighted by
/// latency and failures; chance decides among equals.
std::unique_ptr<runner_choice> make_least_wait(random_source& random);
/// The better of two drawn at random, by the same measure.
std::unique_ptr<runner_choice> make_two_choices(random_source& random);
/// Any runner; a baseline.
std::unique_ptr<runner_choice> make_random_choice(random_source& random);
/// In turn; a baseline.
std::unique_ptr<runner_choice> make_round_robin();

/// The runners of one service.
class runner_pool {
 public:
  runner_pool(runner_choice& choice, clock_source& clock);

  /// Takes over the holder's table; its loans end at `valid_until`.
  void update(const std::vector<proto::runner>& table, time_point valid_until);
  /// A runner that is not in `tried` with a slot free for a request that ends
  /// by `deadline`; null when there is none.
  runner* pick(const std::set<task_id>& tried, time_point deadline);
  /// An exchange begins or ends.
  void begin(runner& it);
  void end(runner& it, exchange_result result, milliseconds latency);
  /// The runner says that it takes no more requests.
  void note_leaving(runner& it);

  bool empty() const { return runners_.empty(); }
  /// Slots of this box at runners that may be used now.
  uint32_t usable_slots() const;
  const std::map<task_id, std::unique_ptr<runner>>& runners() const {
    return runners_;
  }

 private:
  bool usable(const runner& it, time_point deadline) const;
  void eject_if_due(runner& it);

  runner_choice& choice_;
  clock_source& clock_;
  std::map<task_id, std::unique_ptr<runner>> runners_;
};

}  // namespace kestrelreel

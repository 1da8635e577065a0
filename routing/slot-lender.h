// Splits each runner's slots among the entry boxes of a data centre, at the
// holder. At no time may the boxes together use more slots than a runner has,
// also while boxes come, go and restart and while the holder changes.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "proto/peer.pb.h"

namespace kestrelreel {

/// Lengths of the loans.
struct loan_settings {
  milliseconds valid{10'000};
  unsigned drift_percent = 5;

  milliseconds with_drift() const {
    return valid + valid * drift_percent / 100;
  }
};

/// A runner as the holder knows it.
struct lendable_runner {
  task_id task;
  attempt_number attempt;
  std::string service;
  std::string address;
  uint32_t slots = 0;
  bool leaving = false;
};

/// Slots that are always a box's: half of them split evenly, rounded down, but
/// at least one while there are enough. The boxes that the settings name
/// count, live or not.
uint32_t fixed_share(uint32_t slots, size_t boxes);

/// The lender of one reign.
class slot_lender {
 public:
  slot_lender(std::vector<box_id> boxes, loan_settings settings,
              clock_source& clock);

  /// A new reign. Until each box has reported what it holds, or all loans of
  /// the last reign must be over, nothing more is lent than that.
  void begin();
  /// A box asks for its table. `serving` are the boxes that should have slots.
  proto::runner_table answer(const box_id& from,
                             const proto::runner_request& request,
                             const std::vector<lendable_runner>& runners,
                             const std::vector<box_id>& serving);

 private:
  struct loan {
    uint64_t round = 0;
    uint32_t slots = 0;
    time_point until{};
  };
  using loan_key = std::pair<task_id, attempt_number>;

  uint32_t lent(const std::vector<loan>& loans) const;
  uint32_t lent_to_others(const loan_key& key, const box_id& box) const;
  void note_holdings(const box_id& from, const proto::runner_request& request);
  uint32_t wanted(const lendable_runner& it, const box_id& box,
                  const std::vector<box_id>& serving) const;
  void drop_old();

  std::vector<box_id> boxes_;
  loan_settings settings_;
  clock_source& clock_;
  time_point begun_{};
  std::map<box_id, bool> reported_;
  std::map<loan_key, std::map<box_id, std::vector<loan>>> loans_;
};

}  // namespace kestrelreel

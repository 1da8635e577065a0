#include "routing/slot-lender.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace kestrelreel {

uint32_t fixed_share(uint32_t slots, size_t boxes) {
  if (boxes == 0) return 0;
  const auto n = static_cast<uint32_t>(boxes);
  const uint32_t half = slots / 2 / n;
  return std::max(half, slots >= n ? 1u : 0u);
}

slot_lender::slot_lender(std::vector<box_id> boxes, loan_settings settings,
                         clock_source& clock)
    : boxes_(std::move(boxes)), settings_(settings), clock_(clock) {
  begin();
}

void slot_lender::begin() {
  begun_ = clock_.now();
  reported_.clear();
  loans_.clear();
}

uint32_t slot_lender::lent(const std::vector<loan>& loans) const {
  uint32_t most = 0;
  for (const loan& it : loans) {
    if (clock_.now() < it.until) most = std::max(most, it.slots);
  }
  return most;
}

uint32_t slot_lender::lent_to_others(const loan_key& key,
                                     const box_id& box) const {
  const auto found = loans_.find(key);
  if (found == loans_.end()) return 0;
  uint32_t n = 0;
  for (const auto& [other, loans] : found->second) {
    if (other != box) n += lent(loans);
  }
  return n;
}

/// The box no longer uses loans from before the table that it took over, but
/// for the requests in flight that it names.
void slot_lender::note_holdings(const box_id& from,
                                const proto::runner_request& request) {
  reported_[from] = true;
  for (auto& [key, by_box] : loans_) {
    std::erase_if(by_box[from], [&](const loan& it) {
      return it.round < request.have_round();
    });
  }
  const time_point until = clock_.now() + settings_.with_drift();
  for (const auto& it : request.holdings()) {
    const loan_key key{task_id(it.task()), attempt_number(it.attempt())};
    loans_[key][from].push_back({request.have_round(), it.slots(), until});
  }
}

/// The slots beyond the fixed shares, split evenly among the serving boxes;
/// what does not divide goes to other boxes for each runner.
uint32_t slot_lender::wanted(const lendable_runner& it, const box_id& box,
                             const std::vector<box_id>& serving) const {
  const uint32_t fixed = fixed_share(it.slots, boxes_.size());
  const uint32_t all = fixed * static_cast<uint32_t>(boxes_.size());
  const uint32_t rest = it.slots > all ? it.slots - all : 0;
  const auto at = std::find(serving.begin(), serving.end(), box);
  if (at == serving.end()) return 0;
  const auto n = static_cast<uint32_t>(serving.size());
  const auto rank = static_cast<uint32_t>(at - serving.begin());
  const auto turn = static_cast<uint32_t>(std::hash<task_id>()(it.task) % n);
  const bool extra = (rank + turn) % n < rest % n;
  return rest / n + (extra ? 1 : 0);
}

void slot_lender::drop_old() {
  const time_point now = clock_.now();
  for (auto& [key, by_box] : loans_) {
    for (auto& [box, loans] : by_box) {
      std::erase_if(loans, [&](const loan& it) { return it.until <= now; });
    }
    std::erase_if(by_box, [](const auto& it) { return it.second.empty(); });
  }
  std::erase_if(loans_, [](const auto& it) { return it.second.empty(); });
}

proto::runner_table slot_lender::answer(
    const box_id& from, const proto::runner_request& request,
    const std::vector<lendable_runner>& runners,
    const std::vector<box_id>& serving) {
  drop_old();
  note_holdings(from, request);
  const time_point now = clock_.now();
  const bool all_reported = reported_.size() >= boxes_.size();
  const bool settled = all_reported || now >= begun_ + settings_.with_drift();
  proto::runner_table table;
  table.set_round(request.round());
  table.set_valid_ms(static_cast<uint64_t>(settings_.valid.count()));
  for (const lendable_runner& it : runners) {
    const loan_key key{it.task, it.attempt};
    const uint32_t fixed = fixed_share(it.slots, boxes_.size());
    const uint32_t all = fixed * static_cast<uint32_t>(boxes_.size());
    const uint32_t others = lent_to_others(key, from);
    const uint32_t rest = it.slots > all + others ? it.slots - all - others : 0;
    std::vector<loan>& own = loans_[key][from];
    const uint32_t ceiling = settled ? rest : std::min(rest, lent(own));
    const uint32_t slots = std::min(ceiling, wanted(it, from, serving));
    own.push_back({request.round(), slots, now + settings_.with_drift()});
    proto::runner& row = *table.add_runners();
    row.set_task(it.task.str());
    row.set_attempt(it.attempt.value());
    row.set_service(it.service);
    row.set_address(it.address);
    row.set_fixed_slots(fixed);
    row.set_lent_slots(slots);
    row.set_leaving(it.leaving);
  }
  return table;
}

}  // namespace kestrelreel

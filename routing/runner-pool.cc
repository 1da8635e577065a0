#include "routing/runner-pool.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace kestrelreel {
namespace detail {

// A fifth of each new value: about the last ten exchanges count.
constexpr double average_weight = 0.2;
constexpr double failure_penalty = 20;
constexpr double least_latency_ms = 0.1;
constexpr uint32_t failures_to_eject = 4;
constexpr milliseconds first_ejection{1'000};
constexpr milliseconds last_ejection{30'000};

double expected_wait(const runner& it) {
  const double latency = std::max(it.latency_ms, least_latency_ms);
  return (it.in_flight + 1) * latency *
         (1 + failure_penalty * it.failure_share);
}

class least_wait final : public runner_choice {
 public:
  explicit least_wait(random_source& random) : random_(random) {}
  runner* choose(const std::vector<runner*>& candidates) override {
    // Starting anywhere lets chance decide among equals.
    const size_t start = random_.below(candidates.size());
    runner* best = nullptr;
    double least = std::numeric_limits<double>::infinity();
    for (size_t i = 0; i < candidates.size(); ++i) {
      runner* it = candidates[(start + i) % candidates.size()];
      const double wait = expected_wait(*it);
      if (wait >= least) continue;
      least = wait;
      best = it;
    }
    return best;
  }

 private:
  random_source& random_;
};

class two_choices final : public runner_choice {
 public:
  explicit two_choices(random_source& random) : random_(random) {}
  runner* choose(const std::vector<runner*>& candidates) override {
    runner* a = candidates[random_.below(candidates.size())];
    runner* b = candidates[random_.below(candidates.size())];
    return expected_wait(*b) < expected_wait(*a) ? b : a;
  }

 private:
  random_source& random_;
};

class random_choice final : public runner_choice {
 public:
  explicit random_choice(random_source& random) : random_(random) {}
  runner* choose(const std::vector<runner*>& candidates) override {
    return candidates[random_.below(candidates.size())];
  }

 private:
  random_source& random_;
};

class round_robin final : public runner_choice {
 public:
  runner* choose(const std::vector<runner*>& candidates) override {
    return candidates[next_++ % candidates.size()];
  }

 private:
  size_t next_ = 0;
};

}  // namespace detail

std::unique_ptr<runner_choice> make_least_wait(random_source& random) {
  return std::make_unique<detail::least_wait>(random);
}
std::unique_ptr<runner_choice> make_two_choices(random_source& random) {
  return std::make_unique<detail::two_choices>(random);
}
std::unique_ptr<runner_choice> make_random_choice(random_source& random) {
  return std::make_unique<detail::random_choice>(random);
}
std::unique_ptr<runner_choice> make_round_robin() {
  return std::make_unique<detail::round_robin>();
}

runner_pool::runner_pool(runner_choice& choice, clock_source& clock)
    : choice_(choice), clock_(clock) {}

void runner_pool::update(const std::vector<proto::runner>& table,
                         time_point valid_until) {
  for (auto& [id, it] : runners_) it->listed = false;
  for (const proto::runner& row : table) {
    std::unique_ptr<runner>& slot = runners_[task_id(row.task())];
    const bool fresh = !slot || slot->attempt.value() != row.attempt();
    if (fresh && slot && slot->in_flight > 0) continue;
    if (fresh) slot = std::make_unique<runner>();
    slot->task = task_id(row.task());
    slot->attempt = attempt_number(row.attempt());
    slot->address = row.address();
    slot->fixed_slots = row.fixed_slots();
    slot->lent_slots = row.lent_slots();
    slot->lent_until = valid_until;
    slot->leaving |= row.leaving();
    slot->listed = true;
  }
  std::erase_if(runners_, [](const auto& pair) {
    return !pair.second->listed && pair.second->in_flight == 0;
  });
}

bool runner_pool::usable(const runner& it, time_point deadline) const {
  const bool ejected = clock_.now() < it.ejected_until;
  if (!it.listed || it.leaving || ejected) return false;
  // After an ejection one request at a time shows whether it is well again.
  const uint32_t slots = it.ejections > 0 ? 1 : it.slots(deadline);
  return it.in_flight < slots;
}

runner* runner_pool::pick(const std::set<task_id>& tried, time_point deadline) {
  std::vector<runner*> candidates;
  candidates.reserve(runners_.size());
  for (const auto& [id, it] : runners_) {
    if (usable(*it, deadline) && !tried.contains(id))
      candidates.push_back(it.get());
  }
  return candidates.empty() ? nullptr : choice_.choose(candidates);
}

uint32_t runner_pool::usable_slots() const {
  uint32_t n = 0;
  for (const auto& [id, it] : runners_) {
    if (it->listed && !it->leaving) n += it->slots(clock_.now());
  }
  return n;
}

void runner_pool::begin(runner& it) { ++it.in_flight; }

void runner_pool::end(runner& it, exchange_result result,
                      milliseconds latency) {
  --it.in_flight;
  if (result == exchange_result::abandoned) return;
  const bool good = result == exchange_result::good;
  const double failed = good ? 0 : 1;
  it.failure_share += detail::average_weight * (failed - it.failure_share);
  if (good) {
    const double ms = static_cast<double>(latency.count());
    const double weight = it.latency_ms == 0 ? 1 : detail::average_weight;
    it.latency_ms += weight * (ms - it.latency_ms);
    it.failures_in_row = 0;
    it.ejections = 0;
    return;
  }
  ++it.failures_in_row;
  eject_if_due(it);
}

/// Leaves a failing runner alone for a while, unless half of all are left
/// alone already: then the fault is rather elsewhere.
void runner_pool::eject_if_due(runner& it) {
  const bool probed = it.ejections > 0;
  if (!probed && it.failures_in_row < detail::failures_to_eject) return;
  size_t ejected = 0;
  for (const auto& [id, other] : runners_) {
    if (other->ejections > 0 && other.get() != &it) ++ejected;
  }
  if ((ejected + 1) * 2 > runners_.size()) return;
  constexpr uint32_t most_doublings = 8;
  const uint32_t doublings = std::min(it.ejections, most_doublings);
  const milliseconds wait = detail::first_ejection * (1 << doublings);
  it.ejected_until = clock_.now() + std::min(wait, detail::last_ejection);
  ++it.ejections;
}

void runner_pool::note_leaving(runner& it) { it.leaving = true; }

}  // namespace kestrelreel

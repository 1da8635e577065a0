#include "routing/dispatcher.h"

#include <algorithm>
#include <utility>

namespace kestrelreel {
namespace detail {

constexpr int status_unavailable = 503;
constexpr double gap_weight = 0.05;
constexpr milliseconds no_runner_wait{1'000};
constexpr milliseconds least_wait_announced{50};

}  // namespace detail

dispatcher::dispatcher(dispatch_limits limits, runner_choice& choice,
                       random_source& random, clock_source& clock)
    : limits_(limits),
      random_(random),
      clock_(clock),
      pool_(choice, clock),
      budget_(limits.retry_percent) {}

/// How long until that many waiting requests are served, by the rate of late.
milliseconds dispatcher::expected_wait(size_t ahead) const {
  const double ms = answer_gap_ms_ * static_cast<double>(ahead + 1);
  return milliseconds(static_cast<int64_t>(ms));
}

/// Spreads callers that were refused together over twice the wait.
milliseconds dispatcher::jittered(milliseconds wait) {
  const milliseconds least = std::max(wait, detail::least_wait_announced);
  const auto spread = static_cast<uint64_t>(least.count()) + 1;
  return least + milliseconds(static_cast<int64_t>(random_.below(spread)));
}

void dispatcher::submit(const request_info& request) {
  if (pool_.empty()) {
    ++counters_.refused_no_runner;
    return refuse(request.id, "no-runner", detail::no_runner_wait);
  }
  if (queue_.size() == 0) {
    if (runner* target = pool_.pick({}, request.deadline)) {
      ++counters_.accepted;
      return start(request.id, *target);
    }
  }
  const size_t ahead = queue_.ahead_of(request.tenant, request.kind);
  const milliseconds wait = expected_wait(ahead);
  if (queue_.size() >= limits_.queued) {
    ++counters_.refused_full;
    return refuse(request.id, "queue-full", wait);
  }
  if (clock_.now() + wait > request.deadline) {
    ++counters_.refused_late;
    return refuse(request.id, "deadline-too-near", wait);
  }
  ++counters_.accepted;
  queue_.push({request.id, request.tenant, request.kind, request.deadline});
}

void dispatcher::start(uint64_t id, runner& target) {
  pool_.begin(target);
  ++counters_.sent;
  events_.push_back({id, &target, std::nullopt});
}

void dispatcher::refuse(uint64_t id, std::string reason, milliseconds wait) {
  refusal it;
  it.error.ran = verdict::not_run;
  it.error.status = detail::status_unavailable;
  it.error.reason = std::move(reason);
  it.retry_after = jittered(wait);
  events_.push_back({id, nullptr, std::move(it)});
}

void dispatcher::finish(runner& target, exchange_result result,
                        milliseconds latency) {
  const time_point now = clock_.now();
  pool_.end(target, result, latency);
  if (result == exchange_result::good) budget_.success();
  if (last_answer_ && queue_.size() > 0) {
    const double gap = static_cast<double>((now - *last_answer_).count());
    const double weight = answer_gap_ms_ == 0 ? 1 : detail::gap_weight;
    answer_gap_ms_ += weight * (gap - answer_gap_ms_);
  }
  last_answer_ = now;
  serve_queue();
}

bool dispatcher::retry(const request_info& request,
                       const std::set<task_id>& tried) {
  if (clock_.now() >= request.deadline) return false;
  runner* target = pool_.pick(tried, request.deadline);
  if (target == nullptr || !budget_.take()) return false;
  ++counters_.retried;
  start(request.id, *target);
  return true;
}

void dispatcher::abandon(uint64_t id) { queue_.remove(id); }

void dispatcher::tick() { serve_queue(); }

void dispatcher::serve_queue() {
  for (const waiting_request& it : queue_.take_expired(clock_.now())) {
    ++counters_.expired;
    refuse(it.id, "deadline-in-queue", expected_wait(queue_.size()));
  }
  while (const waiting_request* next = queue_.peek()) {
    runner* target = pool_.pick({}, next->deadline);
    if (target == nullptr) return;
    const uint64_t id = next->id;
    queue_.pop();
    start(id, *target);
  }
}

std::vector<dispatch_event> dispatcher::take_events() {
  return std::exchange(events_, {});
}

}  // namespace kestrelreel

// Declares runs lost that never began, and withdraws starts that were never
// sent.
#include <algorithm>
#include <chrono>
#include <vector>

#include "fleet/controller.h"
#include "fleet/run-presence.h"
#include "kernel/log.h"

namespace kestrelreel {
namespace detail {

constexpr const char* service_name = "controller";
/// Added to the time after which a worker drops an answer, for the delay of its
/// next heartbeat: a run ordered longer ago than both and still not listed
/// never begins.
constexpr milliseconds order_margin{500};
/// Interval between reviews for runs that never began, per worker: reviewing
/// one worker's runs takes 2 us.
constexpr std::chrono::microseconds unstarted_review_per_worker{400};
/// How much longer than its first deadline an unsent start is kept: some calls
/// of a worker whose answers can't carry it, as when its capacity has shrunk.
constexpr milliseconds max_extra_wait{2'000};

/// Until when the unsent start of a long-running task waits for the answer to
/// the worker's pending call, or for its next call.
time_point kept_until(const worker_view& it, time_point deadline) {
  const time_point latest = deadline + max_extra_wait;
  return it.respond ? latest
                    : std::clamp(it.starts_kept_until, deadline, latest);
}

}  // namespace detail

/// How long after an order, if it was not lost, the worker lists its run.
milliseconds fleet_controller::order_arrival_limit() const {
  return workers_.leases().answer_limit + detail::order_margin;
}

/// When every lease has ended that an earlier leader granted.
time_point fleet_controller::earlier_leases_end() const {
  return led_since_ + workers_.leases().expiry_delay();
}

/// True when the worker sent its last list later than the last order for the
/// run could arrive, by the leader's clock. The first heartbeats that a leader
/// gets may date from before its leadership: their age is unknown until the
/// worker is known to get this leader's answers.
bool fleet_controller::listed_after_order(const worker_view& it,
                                          const run_key& run) const {
  const time_point sent_at = it.last_timely_heartbeat_at - it.delay;
  return it.got_answer &&
         sent_at - last_order_of(it, run) > order_arrival_limit();
}

/// True when no order of an earlier leader keeps the run alive, which the last
/// list lacks. Once the leases of earlier leaders have ended, a run that began
/// by such an order has either ended with them, or got an answer of this leader
/// to a call that listed it.
bool fleet_controller::earlier_orders_over(const worker_view& it,
                                           const run_key& run) const {
  if (listed_after_order(it, run)) return true;
  return !defers_losses() &&
         clock_.now() >= earlier_leases_end() + loss_grace();
}

/// True when no order can make the worker begin the run, which its last list
/// lacks. This leader's orders are judged by the worker's clock alone, so that
/// neither delayed heartbeats nor lost answers matter: a worker makes one call
/// at a time, and drops an answer that comes later than `answer_limit` after
/// its call.
bool fleet_controller::orders_over(const worker_view& it,
                                   const run_key& run) const {
  const auto offer = it.start_offers.find(run);
  if (it.listed_clock_ms == 0) return listed_after_order(it, run);
  if (offer == it.start_offers.end()) return earlier_orders_over(it, run);
  const milliseconds since_call(
      static_cast<int64_t>(it.listed_clock_ms - offer->second.call_clock_ms));
  return since_call > order_arrival_limit() &&
         (offer->second.placed_here || earlier_orders_over(it, run));
}

/// Declares runs lost that must not start any more, or whose start doesn't
/// reach the worker, and that it has not begun long after the last order.
void fleet_controller::review_unstarted(worker_view& it) {
  if (!it.has_heartbeat || pending_losses_.contains(it.id)) return;
  const bool can_start = accepts_starts(it) && !is_overcommitted(it);
  std::vector<run_key> lost;
  for (const run_key& run : book_.runs_on(it.id)) {
    if (presence_of(it, run) != run_presence::absent) continue;
    if (can_start && !should_stop(run) && !offer_expired(it, run)) continue;
    if (orders_over(it, run)) lost.push_back(run);
  }
  if (!lost.empty()) propose_loss(it, lost, loss_cause::unstarted);
}

/// Withdraws starts that waited too long to be sent, or need not be sent any
/// more: a start for a worker whose heartbeat is overdue occupies capacity
/// while the task could run elsewhere. A start that was never sent can't begin,
/// and none of the worker's starts is sent while the withdrawal is pending.
void fleet_controller::review_unsent() {
  const time_point now = clock_.now();
  workers_.groups().with_unsent_starts.retain_if([&](worker_view& it) {
    if (it.unsent_starts.empty()) return false;
    if (pending_losses_.contains(it.id)) return true;
    const auto& runs = book_.runs_on(it.id);
    std::erase_if(it.unsent_starts,
                  [&runs](const auto& p) { return !runs.contains(p.first); });
    std::vector<run_key> expired;
    std::vector<run_key> withdrawn;
    for (const auto& [run, deadline] : it.unsent_starts) {
      const bool obsolete = should_stop(run);
      const bool overdue =
          now >=
          (is_long_running(run) ? detail::kept_until(it, deadline) : deadline);
      if (!obsolete && overdue) expired.push_back(run);
      if (obsolete || overdue) withdrawn.push_back(run);
    }
    if (withdrawn.empty()) return !it.unsent_starts.empty();
    for (const run_key& run : withdrawn) it.unsent_starts.erase(run);
    if (!expired.empty()) it.starts_recalled_at = now;
    record_taken_back(it, expired);
    propose_loss(it, withdrawn, loss_cause::unsent);
    return !it.unsent_starts.empty();
  });
}

/// Counts and logs withdrawn starts: only these figures explain a task that
/// waits although capacity was found for it again and again.
void fleet_controller::record_taken_back(const worker_view& it,
                                         const std::vector<run_key>& runs) {
  metrics_.counter("kestrelreel_starts_taken_back_total") += runs.size();
  for (const run_key& run : runs) {
    const unsigned times = ++placed_in_vain_[run.task];
    log_event(detail::service_name, log_level::info, "placed-in-vain")
        .with("task", to_text(run.task))
        .with("run", run.run.value())
        .with("worker", it.id.str())
        .with("times", times)
        .with("lasting", is_long_running(run) ? "yes" : "no")
        .with("call-overdue-ms", (clock_.now() - it.call_due).count())
        .with("lag-ms", lag_.lag().count());
  }
}

void fleet_controller::review_all_unstarted() {
  const time_point now = clock_.now();
  const auto pause =
      detail::unstarted_review_per_worker * workers_.views().size();
  if (now - unstarted_reviewed_at_ < pause) return;
  unstarted_reviewed_at_ = now;
  std::erase_if(placed_in_vain_, [this](const auto& p) {
    return book_.find(p.first.job) == nullptr ||
           !book_.find(p.first.job)->live();
  });
  for (auto& [id, it] : workers_.views()) review_unstarted(it);
}

}  // namespace kestrelreel

// The leader's lag, and the log line that reports it.
#include <algorithm>

#include "fleet/controller.h"
#include "fleet/run-presence.h"
#include "kernel/log.h"

namespace kestrelreel {
namespace detail {

constexpr const char* service_name = "controller";
constexpr milliseconds tick_interval{100};
constexpr milliseconds load_report_interval{1'000};

}  // namespace detail

void fleet_controller::review_lag() {
  const time_point now = clock_.now();
  lag_.tick(now - ticked_at_ - detail::tick_interval);
}

/// Moves, reservations and reports improve placement but meet no deadline; a
/// lagging leader performs them less often.
void fleet_controller::review_placement() {
  const time_point now = clock_.now();
  if (lag_.behind() &&
      now - placement_reviewed_at_ < lag_.stretched(detail::tick_interval)) {
    return;
  }
  placement_reviewed_at_ = now;
  if (const uint64_t n = scheduler_.take_throttled_by_slack(); n > 0)
    metrics_.counter("kestrelreel_backfill_throttled_by_slack_total") += n;
  if (const uint64_t n = scheduler_.take_passed_over(); n > 0)
    metrics_.counter("kestrelreel_jobs_passed_over_total") += n;
  if (const uint64_t n = scheduler_.take_gone_first(); n > 0)
    metrics_.counter("kestrelreel_jobs_gone_first_total") += n;
  move_starved_backfill();
  reserve_capacity();
  scheduler_.report_waits();
}

void fleet_controller::record_looks() {
  const uint64_t looks = scheduler_.take_worker_evaluations();
  if (looks == 0) return;
  load_.looks += looks;
  metrics_.counter("kestrelreel_placement_looks_total") += looks;
}

/// Counts the runs in the book that were not sent in any answer yet, and the
/// sent runs that their worker does not list: how far orders lag behind the
/// book.
fleet_controller::order_backlog fleet_controller::count_order_backlog() const {
  order_backlog out;
  for (const auto& [id, it] : workers_.views()) {
    for (const run_key& run : book_.runs_on(id)) {
      if (has_begun(it, run)) continue;
      const bool sent = it.starts_sent_at.contains(run);
      ++(sent ? out.unlisted : out.unsent);
      if (!sent && is_long_running(run)) ++out.unsent_long_running;
    }
  }
  return out;
}

/// Logs the load once a second, with the order backlog while the leader lags:
/// counting the backlog takes 2 us per worker.
void fleet_controller::report_load() {
  const time_point now = clock_.now();
  load_.longest_lag = std::max(load_.longest_lag, lag_.lag());
  if (now - load_.since < detail::load_report_interval) return;
  log_event line(detail::service_name,
                 lag_.behind() ? log_level::info : log_level::debug,
                 "leader-load");
  line.with("within-ms", (now - load_.since).count())
      .with("lag-ms", lag_.lag().count())
      .with("longest-lag-ms", load_.longest_lag.count())
      .with("stretch-percent", lag_.stretch_percent())
      .with("heartbeats", load_.heartbeats)
      .with("late", load_.late)
      .with("turns", load_.turns)
      .with("answers", load_.answers)
      .with("looks", load_.looks);
  if (lag_.behind()) {
    const order_backlog orders = count_order_backlog();
    line.with("unsent", orders.unsent)
        .with("unsent-lasting", orders.unsent_long_running)
        .with("unlisted", orders.unlisted);
  }
  load_ = {};
  load_.since = now;
}

}  // namespace kestrelreel

// The starts in answers to the workers' heartbeats.
#include <algorithm>
#include <string>
#include <vector>

#include "base/text.h"
#include "fleet/controller.h"
#include "fleet/run-presence.h"
#include "kernel/log.h"

namespace kestrelreel {
namespace detail {

constexpr const char* service_name = "controller";
/// Upper bounds of what an encoded answer takes for one order, without texts,
/// and for all that is no order.
constexpr size_t max_order_bytes = 128;
constexpr size_t max_answer_head_bytes = 1'024;
/// How long a start is repeated in answers, two of which a worker gets if it
/// turns to another box each second.
constexpr milliseconds max_offer_time{2'000};

size_t encoded_size(const fleet::start_order& start) {
  return max_order_bytes + json_size(start.text()) + json_size(start.saved());
}

}  // namespace detail

/// When the start of the run was last sent, by this leader or an earlier one.
time_point fleet_controller::last_order_of(const worker_view& it,
                                           const run_key& run) const {
  const auto sent = it.starts_sent_at.find(run);
  return std::max(led_since_, sent == it.starts_sent_at.end() ? time_point{}
                                                              : sent->second);
}

/// True when the worker lacks the order to start the run. A run that may have
/// ended is ordered again only once the last order must have arrived: the
/// worker refuses to start it again, and lists that as one more end.
bool fleet_controller::lacks_order(const worker_view& it,
                                   const run_key& run) const {
  const run_presence presence = presence_of(it, run);
  if (presence != run_presence::unknown)
    return presence == run_presence::absent;
  return it.unsent_starts.contains(run) ||
         clock_.now() - last_order_of(it, run) > order_arrival_limit();
}

/// True when the worker has not begun the run of a long-running task although
/// its start was sent for long: it calls, but the answers don't reach it. The
/// start is sent no more, so that the run can be declared lost. Other starts
/// are repeated; the other members of a gang wait for the run.
bool fleet_controller::offer_expired(const worker_view& it,
                                     const run_key& run) const {
  const auto offer = it.start_offers.find(run);
  if (offer == it.start_offers.end()) return false;
  const fleet::step_spec* step = book_.find_step(run.task);
  return step != nullptr && step->long_running() && !step->gang() &&
         clock_.now() - offer->second.first_sent_at >= detail::max_offer_time &&
         may_be_given_up(it, offer->second) && !has_begun(it, run);
}

/// False while the run could not be declared lost soon after the last order.
bool fleet_controller::may_be_given_up(const worker_view& it,
                                       const start_offer& offer) const {
  if (it.got_answer) return true;
  if (it.listed_clock_ms == 0) return false;
  return offer.placed_here ||
         clock_.now() + order_arrival_limit() >= earlier_leases_end();
}

/// The starts for an answer given now.
std::vector<run_key> fleet_controller::starts_for(worker_view& it) {
  // None of the runs may begin while some of them are being declared lost.
  if (!accepts_starts(it) || pending_losses_.contains(it.id)) return {};
  // An order in an answer that the worker drops occupies capacity uselessly
  // until the worker's next heartbeat; an order that was never sent can be
  // withdrawn.
  if (lag_.behind() && !scheduler_.has_open_call(it)) return {};
  if (is_overcommitted(it)) return {};
  std::vector<run_key> out;
  for (const run_key& run : book_.runs_on(it.id)) {
    const bool ended =
        should_stop(run) || pending_successes_.contains(run.task);
    if (!ended && lacks_order(it, run) && !offer_expired(it, run))
      out.push_back(run);
  }
  return out;
}

/// Sorts by the age of the jobs, so that no start is put off for ever.
void fleet_controller::sort_by_age(std::vector<run_key>& runs) const {
  const auto order_of = [this](const run_key& run) {
    return book_.find(run.task.job)->order;
  };
  std::stable_sort(runs.begin(), runs.end(),
                   [&](const run_key& a, const run_key& b) {
                     return order_of(a) < order_of(b);
                   });
}

fleet::start_order fleet_controller::make_start(const run_key& run) const {
  fleet::start_order start;
  *start.mutable_task() = to_ref(run.task);
  start.set_run(static_cast<uint32_t>(run.run.value()));
  start.set_text(book_.find(run.task.job)->spec.text());
  start.set_saved(book_.find(run.task)->saved);
  return start;
}

void fleet_controller::record_offer(worker_view& it, const run_key& run) const {
  const bool placed_here = it.unsent_starts.contains(run);
  const start_offer first{clock_.now(), 0, placed_here};
  start_offer& offer = it.start_offers.try_emplace(run, first).first->second;
  offer.call_clock_ms = it.beat.clock_ms();
}

/// Adds the starts that the worker lacks, up to the size of an answer that it
/// accepts: it would drop a larger one whole, and its lease with it.
void fleet_controller::add_starts(worker_view& it,
                                  fleet::worker_orders& orders) {
  std::vector<run_key> runs = starts_for(it);
  std::erase_if(runs,
                [this](const auto& run) { return !order_is_recorded(run); });
  sort_by_age(runs);
  const size_t others = static_cast<size_t>(orders.stops_size()) +
                        static_cast<size_t>(orders.paces_size());
  size_t used =
      detail::max_answer_head_bytes + others * detail::max_order_bytes;
  auto next = runs.begin();
  for (; next != runs.end(); ++next) {
    fleet::start_order start = make_start(*next);
    used += detail::encoded_size(start);
    if (used > settings_.max_answer_bytes) break;
    *orders.add_starts() = std::move(start);
    it.starts_sent_at[*next] = clock_.now();
    record_offer(it, *next);
    it.unsent_starts.erase(*next);
    placed_in_vain_.erase(next->task);
    it.awaits_start = true;
  }
  put_off_starts(it, {next, runs.end()});
}

/// Starts without room in an answer wait for the next one.
void fleet_controller::put_off_starts(worker_view& it,
                                      const std::vector<run_key>& runs) {
  if (runs.empty()) return;
  for (const run_key& run : runs) {
    const auto unsent = it.unsent_starts.find(run);
    if (unsent != it.unsent_starts.end())
      unsent->second = clock_.now() + max_call_delay;
  }
  it.awaits_start = true;
  metrics_.counter("kestrelreel_starts_put_off_total") += runs.size();
  log_event(detail::service_name, log_level::info, "starts-put-off")
      .with("worker", it.id.str())
      .with("sequence", it.beat.sequence())
      .with("count", runs.size())
      .with("first", to_text(runs));
}

}  // namespace kestrelreel

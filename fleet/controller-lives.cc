// Assigns heartbeats and leaves to the incarnations of workers, and rejects
// those that belong to none.
#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "fleet/controller.h"
#include "kernel/log.h"

namespace kestrelreel {
namespace detail {

constexpr const char* service_name = "controller";
/// The users' protocol allows a heartbeat to arrive seconds late.
constexpr milliseconds max_heartbeat_delay{60'000};

}  // namespace detail

/// True when the configuration names the worker's pool, or when there is no
/// configuration yet.
bool fleet_controller::names_pool(const fleet::worker_beat& beat) const {
  const auto& pools = book_.config().pools();
  return book_.config().version() == 0 ||
         std::any_of(pools.begin(), pools.end(),
                     [&](const auto& it) { return it.name() == beat.pool(); });
}

/// Returns why the heartbeat can't be from the worker that it names, or null if
/// the heartbeat is consistent. A worker whose pool was removed from the
/// configuration keeps its runs.
const char* fleet_controller::find_fault(const fleet::worker_beat& beat) {
  const std::vector<worker_view*>& incarnations =
      workers_.incarnations_of(beat.worker());
  const bool reports_birth = !incarnations.empty() &&
                             incarnations.back()->has_heartbeat &&
                             start_time_of(incarnations.back()->id) > 0;
  if (reports_birth && beat.born() == 0) return "no birth";
  if (beat.base() != 0 || names_pool(beat)) return nullptr;
  const worker_view* it = workers_.find(incarnation_of(beat));
  const bool is_known = it != nullptr && it->has_heartbeat;
  return is_known && it->beat.pool() == beat.pool() ? nullptr : "unknown pool";
}

void fleet_controller::reject_heartbeat(const fleet::worker_beat& beat,
                                        const char* fault,
                                        const respond_function& respond) {
  ++metrics_.counter("kestrelreel_heartbeats_unusable_total",
                     {{"cause", fault}});
  log_event(detail::service_name, log_level::warn, "heartbeat-unusable")
      .with("worker", incarnation_of(beat).str())
      .with("address", beat.address())
      .with("pool", beat.pool())
      .with("sequence", beat.sequence())
      .with("clock-ms", beat.clock_ms())
      .with("cause", fault);
  respond(make_response(fleet::fleet_invalid, fault));
}

/// Overtaken heartbeats are common and logged at `debug`. A heartbeat whose
/// clock does not match its sequence number is not merely overtaken and is
/// logged at `info`: if every heartbeat of a worker is dropped as overtaken,
/// the worker gets no orders and is declared lost while alive.
void fleet_controller::log_overtaken(const fleet::worker_beat& beat,
                                     const worker_view& it) {
  ++metrics_.counter("kestrelreel_heartbeats_overtaken_total");
  const auto clock_behind =
      static_cast<int64_t>(it.beat.clock_ms() - beat.clock_ms());
  const bool plausible = clock_behind <= detail::max_heartbeat_delay.count();
  log_event(detail::service_name,
            plausible ? log_level::debug : log_level::info,
            "heartbeat-overtaken")
      .with("worker", it.id.str())
      .with("sequence", beat.sequence())
      .with("taken", it.beat.sequence())
      .with("clock-behind-ms", clock_behind)
      .with("ends", beat.ended_size())
      .with("told-ms-ago", (clock_.now() - it.last_heartbeat_at).count());
}

fleet_controller::earlier_call fleet_controller::earlier_call_of(
    const worker_view* it) {
  if (it == nullptr) return {};
  return {it->lapsed.size(), it->has_heartbeat, it->beat.sequence(),
          it->last_heartbeat_at};
}

/// Logs a call of a worker whose runs were declared lost because its lease had
/// ended, with the number of its calls that this leader did not read: none of a
/// worker that stood still, one a second of one that got no answer, several a
/// second of one that was put off.
void fleet_controller::log_heard_again(const worker_view& it,
                                       const earlier_call& last) const {
  log_event line(detail::service_name, log_level::info, "worker-heard-again");
  line.with("worker", it.id.str())
      .with("sequence", it.beat.sequence())
      .with("runs-lost", last.runs_lost)
      .with("ends", it.beat.ended_size())
      .with("known", last.heard ? "yes" : "no");
  if (!last.heard) return;
  line.with("silent-ms", (clock_.now() - last.at).count())
      .with("calls-unread", it.beat.sequence() - last.sequence - 1);
}

/// Finds the incarnation that a leave refers to, or none if the leave can only
/// refer to an ended one. A leave without a birth time refers to the
/// draining incarnation. Such a leave does not end an incarnation that began
/// after another one and does not drain: the leave may have been delayed, and
/// the runs of that incarnation would be started twice.
std::optional<worker_id> fleet_controller::find_leaving_incarnation(
    const std::string& name, uint64_t born) {
  if (born > 0) return incarnation_of(name, born);
  const std::vector<worker_view*>& incarnations =
      workers_.incarnations_of(name);
  const bool has_earlier = workers_.has_earlier_incarnation(name);
  if (incarnations.empty() && !has_earlier) return worker_id(name);
  const auto is_leaving = [](const worker_view* it) {
    return it->beat.draining() || it->leave_recorded_at.has_value();
  };
  const auto last =
      std::find_if(incarnations.rbegin(), incarnations.rend(), is_leaving);
  if (last != incarnations.rend()) return (*last)->id;
  if (has_earlier) return std::nullopt;
  return incarnations.back()->id;
}

}  // namespace kestrelreel

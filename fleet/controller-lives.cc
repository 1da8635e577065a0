// Which life of a worker a call is of, and which calls are of none.
#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "fleet/controller.h"
#include "kernel/log.h"

namespace kestrelreel {
namespace detail {

constexpr const char* service_name = "controller";
/// A heartbeat may come seconds late, by the users' protocol.
constexpr milliseconds longest_way{60'000};

}  // namespace detail

/// True when the configuration names the worker's pool, or none is there yet.
bool fleet_controller::names_pool(const fleet::worker_beat& beat) const {
  const auto& pools = book_.config().pools();
  return book_.config().version() == 0 ||
         std::any_of(pools.begin(), pools.end(),
                     [&](const auto& it) { return it.name() == beat.pool(); });
}

/// What shows that another writer sent the heartbeat; null where nothing does.
/// A worker whose pool went out of the configuration runs what it runs.
const char* fleet_controller::fault_of(const fleet::worker_beat& beat) {
  const std::vector<worker_view*>& lives =
      workers_.incarnations_of(beat.worker());
  const bool told = !lives.empty() && lives.back()->has_heartbeat &&
                    start_time_of(lives.back()->id) > 0;
  if (told && beat.born() == 0) return "no birth";
  if (beat.base() != 0 || names_pool(beat)) return nullptr;
  const worker_view* it = workers_.find(incarnation_of(beat));
  const bool known = it != nullptr && it->has_heartbeat;
  return known && it->beat.pool() == beat.pool() ? nullptr : "unknown pool";
}

void fleet_controller::refuse_beat(const fleet::worker_beat& beat,
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

/// Calls are overtaken all the time. One whose clock does not fit its sequence
/// is no such call: a worker of which every call passes for one gets nothing,
/// and is given up on while it lives.
void fleet_controller::note_overtaken(const fleet::worker_beat& beat,
                                      const worker_view& it) {
  ++metrics_.counter("kestrelreel_heartbeats_overtaken_total");
  const auto behind =
      static_cast<int64_t>(it.beat.clock_ms() - beat.clock_ms());
  const bool fits = behind <= detail::longest_way.count();
  log_event(detail::service_name, fits ? log_level::debug : log_level::info,
            "heartbeat-overtaken")
      .with("worker", it.id.str())
      .with("sequence", beat.sequence())
      .with("taken", it.beat.sequence())
      .with("clock-behind-ms", behind)
      .with("ends", beat.ended_size())
      .with("told-ms-ago", (clock_.now() - it.last_heartbeat_at).count());
}

/// The life that a leave is of. One that tells no birth is of the life that
/// drains; a life that began after another one and does not drain is not
/// ended by it, as it may have been held up: what it runs would start twice.
/// None where no life that is not over is meant.
std::optional<worker_id> fleet_controller::leaver_of(const std::string& name,
                                                     uint64_t born) {
  if (born > 0) return incarnation_of(name, born);
  const std::vector<worker_view*>& lives = workers_.incarnations_of(name);
  const bool earlier = workers_.has_earlier_incarnation(name);
  if (lives.empty() && !earlier) return worker_id(name);
  const auto drains = [](const worker_view* it) {
    return it->beat.draining() || it->leave_recorded_at.has_value();
  };
  const auto last = std::find_if(lives.rbegin(), lives.rend(), drains);
  if (last != lives.rend()) return (*last)->id;
  if (earlier) return std::nullopt;
  return lives.back()->id;
}

}  // namespace kestrelreel

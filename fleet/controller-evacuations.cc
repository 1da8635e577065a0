// Data centres that an operator has evacuated: no new work starts there.
#include <algorithm>

#include "fleet/controller.h"
#include "kernel/log.h"

namespace kestrelreel {
namespace detail {

constexpr const char* service_name = "controller";

}  // namespace detail

bool fleet_controller::is_data_centre(const std::string& name) const {
  const auto& named = settings_.data_centres;
  if (std::find(named.begin(), named.end(), name) != named.end()) return true;
  // A new leader may not have heard from that data centre's workers yet.
  if (book_.evacuated().holds(name)) return true;
  const auto& views = workers_.views();
  return std::any_of(views.begin(), views.end(), [&](const auto& it) {
    return it.second.beat.data_centre() == name;
  });
}

/// Logs each order, even one that repeats the current state: an opposite order
/// may be received and not yet committed, and log order decides which order is
/// the latest.
void fleet_controller::on_evacuation(const fleet::evacuation_order& order,
                                     const respond_function& respond) {
  const bool known = is_data_centre(order.data_centre());
  log_event(detail::service_name, log_level::info, "evacuation-comes")
      .with("data-centre", order.data_centre())
      .with("order", order.evacuate() ? "evacuate" : "take-back")
      .with("held", book_.evacuated().holds(order.data_centre()) ? "yes" : "no")
      .with("version", book_.evacuated().version())
      .with("known", known ? "yes" : "no");
  if (!known) {
    return respond(make_response(fleet::fleet_invalid, "unknown-data-centre"));
  }
  if (is_overtaken(order)) return reject_overtaken(order, respond);
  fleet::fleet_command command;
  fleet::evacuation_order& logged = *command.mutable_evacuation();
  logged.set_data_centre(order.data_centre());
  logged.set_evacuate(order.evacuate());
  logged.set_ordered_at_ms(settings_.wall_clock_ms());
  pending_evacuations_.insert(order.data_centre());
  commit(std::move(command), respond);
}

/// True for an order that may be older than the last change. Its caller may
/// have turned to another box since and ordered the opposite there.
bool fleet_controller::is_overtaken(
    const fleet::evacuation_order& order) const {
  if (!order.has_known_version()) return false;
  const evacuations& held = book_.evacuated();
  if (pending_evacuations_.contains(order.data_centre())) return true;
  return held.holds(order.data_centre()) != order.evacuate() &&
         order.known_version() < held.version();
}

void fleet_controller::reject_overtaken(const fleet::evacuation_order& order,
                                        const respond_function& respond) {
  const uint64_t version = book_.evacuated().version();
  log_event(detail::service_name, log_level::warn, "evacuation-overtaken")
      .with("data-centre", order.data_centre())
      .with("order", order.evacuate() ? "evacuate" : "take-back")
      .with("known-version", order.known_version())
      .with("version", version);
  fleet::fleet_response response =
      make_response(fleet::fleet_unavailable, "overtaken");
  response.set_overtaken(true);
  response.set_evacuations_version(version);
  respond(std::move(response));
}

/// The order was applied or could not be proposed.
void fleet_controller::settle_evacuation(const std::string& data_centre) {
  const auto it = pending_evacuations_.find(data_centre);
  if (it != pending_evacuations_.end()) pending_evacuations_.erase(it);
}

void fleet_controller::log_evacuation(
    const fleet::evacuation_order& order) const {
  log_event(detail::service_name, log_level::info, "evacuation-applied")
      .with("data-centre", order.data_centre())
      .with("order", order.evacuate() ? "evacuate" : "take-back")
      .with("version", book_.evacuated().version())
      .with("in-force", book_.evacuated().names());
}

/// False for a worker to which no start is sent, however the start was
/// planned. Runs recorded for such a worker that the worker does not list are
/// declared lost.
bool fleet_controller::accepts_starts(const worker_view& it) const {
  return !it.is_leaving && !it.beat.draining() &&
         !book_.evacuated().holds(it.beat.data_centre());
}

}  // namespace kestrelreel

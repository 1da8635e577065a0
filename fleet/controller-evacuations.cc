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
  fleet::fleet_command command;
  *command.mutable_evacuation() = order;
  command.mutable_evacuation()->set_ordered_at_ms(settings_.wall_clock_ms());
  commit(std::move(command), respond);
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

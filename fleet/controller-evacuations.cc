// Data centres that get no new work by an operator's order.
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
  // A new leader may not have heard its workers yet.
  if (book_.evacuated().holds(name)) return true;
  const auto& views = workers_.views();
  return std::any_of(views.begin(), views.end(), [&](const auto& it) {
    return it.second.beat.data_centre() == name;
  });
}

/// Each order goes through the log, also one that is in force by the book: its
/// opposite may be on its way there, and the log tells which came last.
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

void fleet_controller::note_evacuation(
    const fleet::evacuation_order& order) const {
  log_event(detail::service_name, log_level::info, "evacuation-applied")
      .with("data-centre", order.data_centre())
      .with("order", order.evacuate() ? "evacuate" : "take-back")
      .with("version", book_.evacuated().version())
      .with("in-force", book_.evacuated().names());
}

/// False for a worker to which no start is sent, on whatever road it came: runs
/// that were recorded for it and that it does not list are given up on.
bool fleet_controller::takes_starts(const worker_view& it) const {
  return !it.is_leaving && !it.beat.draining() &&
         !book_.evacuated().holds(it.beat.data_centre());
}

}  // namespace kestrelreel

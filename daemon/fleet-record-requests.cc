// Requests at a control box, which it answers while it leads and else passes on
// to the leader. An order to evacuate a data centre, or to take that back, has
// no number: one that lay unread while its caller turned to another box must
// not undo what was ordered there since.
#include <algorithm>
#include <memory>
#include <utility>

#include "daemon/ask-again.h"
#include "daemon/fleet-record-service.h"

namespace kestrelreel {
namespace detail {

/// A caller turns to another box after a second. One that sent its order within
/// this time still waits here, also after a turn of the event loop and the way.
constexpr milliseconds caller_stays{600};

}  // namespace detail

void fleet_record_service::ask(const fleet::fleet_request& request,
                               milliseconds limit, respond_function respond) {
  if (request.has_beat()) return take_beat(request.beat(), std::move(respond));
  if (request.has_evacuation() && !request.evacuation().has_known_version())
    return order_evacuation(request, limit, std::move(respond));
  ask_leader(request, limit, std::move(respond));
}

void fleet_record_service::ask_leader(const fleet::fleet_request& request,
                                      milliseconds limit,
                                      respond_function respond) {
  const std::string leader = leader_told();
  const bool here = leader.empty() || leader == context_.settings.box.str();
  if (here) {
    controller_.request(request, respond);
    return settle_soon();
  }
  mesh_->call(box_id(leader), request, true, limit, std::move(respond));
}

/// False while this box may miss changes that the others have recorded.
bool fleet_record_service::in_contact() {
  return controller_.leading() ? may_decide() : !leader_told().empty();
}

void fleet_record_service::order_evacuation(fleet::fleet_request request,
                                            milliseconds limit,
                                            respond_function respond) {
  const time_point now = context_.clock.now();
  fleet::evacuation_order& order = *request.mutable_evacuation();
  const milliseconds max_age(static_cast<int64_t>(order.max_age_ms()));
  const time_point sent_since =
      std::min(arrivals_.earliest(now), now - max_age);
  order.set_known_version(controller_.evacuations_known_at(sent_since));
  pass_on_evacuation(request, sent_since, now + limit, std::move(respond));
}

/// This box may lag behind the leader's last change. While the caller surely
/// waits, its order is later than that change.
void fleet_record_service::pass_on_evacuation(
    const fleet::fleet_request& request, time_point sent_since,
    time_point deadline, respond_function respond) {
  const auto settle = [this, request, sent_since, deadline,
                       respond =
                           std::move(respond)](fleet::fleet_response response) {
    const time_point now = context_.clock.now();
    const bool waits =
        now - sent_since < detail::caller_stays && now + ask_pause < deadline;
    if (!response.overtaken() || !waits) return respond(std::move(response));
    fleet::fleet_request again = request;
    again.mutable_evacuation()->set_known_version(
        response.evacuations_version());
    auto pause = std::make_shared<boost::asio::steady_timer>(context_.io);
    pause->expires_after(ask_pause);
    pause->async_wait([this, pause, again, sent_since, deadline,
                       respond](boost::system::error_code ec) {
      if (!ec) pass_on_evacuation(again, sent_since, deadline, respond);
    });
  };
  ask_leader(request, deadline - context_.clock.now(), settle);
}

}  // namespace kestrelreel

// A request of a caller on its way to the leader.
#pragma once

#include <boost/asio/steady_timer.hpp>

#include "daemon/entry-gateway-service.h"

namespace kestrelreel {

/// The request and what became of its tries.
struct entry_gateway_service::question final : public memory_holder {
  question(seeded_context& context, fleet::fleet_request r)
      : timer(context.io),
        request(std::move(r)),
        share(context.http_memory, *this, "gateway") {
    share.pin();
  }
  /// Not asked to: it may run.
  void shed() override {}

  boost::asio::steady_timer timer;
  fleet::fleet_request request;
  respond_function respond;
  time_point asked{};
  time_point deadline{};
  bool may_have_run = false;
  /// It waited, or was sent, among those held while there is no leader.
  bool held = false;
  bool released = false;
  milliseconds connecting{0};
  unsigned tries = 0;
  unsigned unanswered = 0;
  box_id last_asked;
  memory_budget::share share;
};

}  // namespace kestrelreel

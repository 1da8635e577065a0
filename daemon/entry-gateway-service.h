// The service `gateway` of an entry box: brings callers' requests to the
// leader.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>

#include "daemon/leader-finder.h"
#include "daemon/mesh-service.h"
#include "daemon/repeating-timer.h"
#include "daemon/seeded-context.h"
#include "daemon/submission-hold.h"
#include "fleet/gateway.h"

namespace kestrelreel {

/// Finds the leader and asks it.
class entry_gateway_service final : public service, public fleet_gateway {
 public:
  explicit entry_gateway_service(seeded_context& context)
      : context_(context), tick_timer_(context.io), hold_timer_(context.io) {}

  std::string_view name() const override { return seeded_names::gateway; }
  std::vector<std::string> dependencies() const override {
    return {seeded_names::mesh};
  }
  absl::Status start(service_registry& registry) override;
  void stop() override {
    stopped_ = true;
    tick_timer_.stop();
    hold_timer_.cancel();
  }

  void ask(const fleet::fleet_request& request, milliseconds limit,
           respond_function respond) override;
  void note_unreadable(const std::string& what,
                       const std::string& member) override;
  /// The seeds changed.
  void learn_seeds();
  /// True while a leader is in reach, and for a short while after.
  bool ready() const;
  /// Calls `it` with the bounds of requests whenever a box tells them.
  void on_bounds(std::function<void(const fleet::request_bounds&)> it) {
    on_bounds_ = std::move(it);
  }

 private:
  struct question;
  milliseconds time_left(const question& it) const;
  void try_now(const std::shared_ptr<question>& it);
  void ask_target(const std::shared_ptr<question>& it, const box_id& target,
                  time_point now);
  void try_later(const std::shared_ptr<question>& it,
                 fleet::fleet_response last);
  void give_up(const question& it, fleet::fleet_response last);
  bool may_hold(const question& it, const fleet::fleet_response& last) const;
  time_point held_until(const question& it) const;
  void hold(const std::shared_ptr<question>& it);
  void serve_held();
  void end_overdue();
  void release_held();
  void note_for_held(const question& it, const box_id& target,
                     fleet::fleet_status status);
  std::shared_ptr<question> take_held(submission_id id);
  void end_held(submission_id id, hold_end cause);
  void note_outcome(question& it, const box_id& target,
                    fleet::fleet_status status, time_point since);
  void note_refusal(const question& it,
                    const fleet::fleet_response& last) const;
  void on_message(const box_id& from, const fleet::fleet_frame& frame);
  void tick();
  box_id note_target(time_point now);

  seeded_context& context_;
  peer_mesh* mesh_ = nullptr;
  leader_finder finder_;
  time_point in_reach_at_{};
  bool was_in_reach_ = false;
  box_id last_target_;
  /// The leader, or who named it, last told of a configuration.
  bool configured_ = false;
  bool stopped_ = false;
  std::function<void(const fleet::request_bounds&)> on_bounds_;
  repeating_timer tick_timer_;
  submission_hold hold_;
  std::map<submission_id, std::shared_ptr<question>> held_;
  submission_id last_held_;
  boost::asio::steady_timer hold_timer_;
  bool hold_timer_armed_ = false;
};

}  // namespace kestrelreel

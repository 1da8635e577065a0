// Heartbeats at a control box: to the leader here, or by way of another box.
#include <utility>

#include "daemon/fleet-record-service.h"

namespace kestrelreel {
namespace detail {

/// Heartbeats that come within this time are passed on to the leader together.
constexpr milliseconds pass_on_interval{10};

}  // namespace detail

void fleet_record_service::on_beats(const box_id& from,
                                    const fleet::beat_batch& batch) {
  controller_.take_heartbeats(batch, [this, from](fleet::beat_answer answer) {
    *answers_[from].add_answers() = std::move(answer);
  });
  settle_soon();
}

/// The answers of one settling go to each box in one message.
void fleet_record_service::send_answers() {
  for (auto& [box, answers] : std::exchange(answers_, {})) {
    fleet::fleet_frame frame;
    *frame.mutable_beat_answers() = std::move(answers);
    mesh_->send(box, std::move(frame));
  }
}

/// Here while this box leads, else by way of the leader.
void fleet_record_service::take_beat(const fleet::worker_beat& beat,
                                     respond_function respond) {
  const auto told_where =
      [this, data_centre = beat.data_centre(), worker = beat.worker(),
       respond = std::move(respond)](fleet::fleet_response response) {
        if (response.has_orders() && response.orders().beat_at().empty()) {
          response.mutable_orders()->set_beat_at(directory_.address_for(
              data_centre, worker, context_.clock.now()));
        }
        respond(std::move(response));
      };
  if (controller_.leading()) {
    fleet::fleet_request request;
    *request.mutable_beat() = beat;
    controller_.request(request, told_where);
    return settle_soon();
  }
  intake_.take(beat, told_where);
  pass_on_soon();
}

void fleet_record_service::pass_on_soon() {
  if (!intake_.has_pending_calls() || std::exchange(pass_on_armed_, true))
    return;
  pass_on_timer_.expires_after(detail::pass_on_interval);
  pass_on_timer_.async_wait([this](boost::system::error_code ec) {
    pass_on_armed_ = false;
    if (!ec) pass_on();
  });
}

/// Without a leader the calls wait for one, or until they are given up.
void fleet_record_service::pass_on() {
  const std::string leader = leader_told();
  const bool here = leader == context_.settings.box.str();
  if (leader.empty() || !intake_.has_pending_calls()) return;
  if (here && !controller_.leading()) return;
  fleet::beat_batch batch = intake_.collect(leader);
  if (batch.beats().empty() && batch.waiting().empty()) return;
  if (here) {
    controller_.take_heartbeats(batch, [this](fleet::beat_answer answer) {
      fleet::beat_answers one;
      *one.add_answers() = std::move(answer);
      intake_.handle_answers(one);
    });
    return settle_soon();
  }
  fleet::fleet_frame frame;
  *frame.mutable_beats() = std::move(batch);
  mesh_->send(box_id(leader), std::move(frame));
}

void fleet_record_service::note_unreadable(const std::string& what,
                                           const std::string& member) {
  ++context_.metrics.counter("kestrelreel_bodies_unreadable_total",
                             {{"of", what}, {"member", member}});
}

}  // namespace kestrelreel

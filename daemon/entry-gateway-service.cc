#include "daemon/entry-gateway-service.h"

#include <algorithm>
#include <utility>

#include "base/text.h"
#include "daemon/ask-again.h"
#include "daemon/entry-gateway-question.h"
#include "kernel/log.h"

namespace kestrelreel {
namespace detail {

constexpr const char* gateway_name = "gateway";
constexpr milliseconds gateway_tick{250};
/// A leader answers within three syncs and two ways, some 50 ms; within 0.5 s
/// with a disk of its own 25 times as slow (100 ms a sync), as the others'
/// syncs count. One that takes longer is asked no more until it is heard again:
/// it may be frozen, and another leads 0.8 to 1.6 s after it fell silent, well
/// within the 3 s that callers wait.
constexpr milliseconds answer_limit{600};
/// When a caller that found no leader may come back: about an election.
constexpr milliseconds back_after{1'000};
/// A box stays ready for so long without a leader: an election that goes well.
constexpr milliseconds ready_without{1'800};

/// A message of many small parts takes several times its bytes.
size_t memory_of(const fleet::fleet_request& request) {
  constexpr size_t small_bytes = 4'096;
  return request.ByteSizeLong() < small_bytes ? 0 : request.SpaceUsedLong();
}

request_kind kind_of(const fleet::fleet_request& request) {
  if (request.job().has_submit()) return request_kind::submission;
  return request.job().cancel() ? request_kind::cancel : request_kind::read;
}

}  // namespace detail

absl::Status entry_gateway_service::start(service_registry& registry) {
  mesh_ = &registry.find<mesh_service>(seeded_names::mesh)->mesh();
  peer_mesh::handlers handlers;
  handlers.on_message = [this](const auto& from, const auto& frame,
                               const auto& /*stream*/) {
    on_message(from, frame);
  };
  handlers.on_request = [](const auto&, const auto& respond) { respond({}); };
  handlers.on_lost = [this](const box_id& box) { finder_.lost(box); };
  mesh_->set_handlers(std::move(handlers));
  learn_seeds();
  tick();
  tick_timer_.start(detail::gateway_tick, [this] { tick(); });
  return absl::OkStatus();
}

void entry_gateway_service::learn_seeds() {
  for (const box_id& it : context_.settings.seeds) finder_.know(it);
}

void entry_gateway_service::on_message(const box_id& from,
                                       const fleet::fleet_frame& frame) {
  if (!frame.has_hello()) return;
  finder_.heard(from, frame.hello(), context_.clock.now());
  const bool told = frame.hello().config_version() > 0;
  // One that does not decide may lack only what it did not hear of yet.
  if (told || frame.hello().decides()) configured_ = told;
  if (told && on_bounds_) on_bounds_(frame.hello().bounds());
  tick();
  serve_held();
}

void entry_gateway_service::tick() {
  const time_point now = context_.clock.now();
  for (const box_id& it : finder_.to_greet(now)) {
    fleet::fleet_frame frame;
    frame.mutable_hello()->set_asks(true);
    mesh_->send(it, std::move(frame));
  }
  note_target(now);
}

box_id entry_gateway_service::note_target(time_point now) {
  const box_id target = finder_.target(now);
  if (!target.empty()) {
    in_reach_at_ = now;
    was_in_reach_ = true;
  }
  if (target == last_target_) return target;
  log_event(detail::gateway_name, log_level::info, "target-changed")
      .with("from", last_target_.str())
      .with("to", target.str())
      .with("decides", finder_.target_decides(now) ? "yes" : "no");
  last_target_ = target;
  hold_.target_changed();
  return target;
}

bool entry_gateway_service::ready() const {
  return was_in_reach_ &&
         context_.clock.now() - in_reach_at_ < detail::ready_without;
}

void entry_gateway_service::note_unreadable(const std::string& what,
                                            const std::string& member) {
  ++context_.metrics.counter("kestrelreel_bodies_unreadable_total",
                             {{"of", what}, {"member", member}});
}

void entry_gateway_service::ask(const fleet::fleet_request& request,
                                milliseconds limit, respond_function respond) {
  auto it = std::make_shared<question>(context_, request);
  if (!it->share.resize(detail::memory_of(request))) {
    fleet::fleet_response refused;
    refused.set_status(fleet::fleet_unavailable);
    refused.set_reason("memory-limit");
    refused.set_retry_after_ms(
        static_cast<uint64_t>(detail::back_after.count()));
    return respond(std::move(refused));
  }
  it->respond = std::move(respond);
  it->asked = context_.clock.now();
  it->deadline = it->asked + limit;
  try_now(it);
}

/// Until the caller gives up or this box ends.
milliseconds entry_gateway_service::time_left(const question& it) const {
  return std::min(it.deadline, context_.answers_due) - context_.clock.now();
}

void entry_gateway_service::try_now(const std::shared_ptr<question>& it) {
  const time_point now = context_.clock.now();
  const milliseconds left = time_left(*it);
  fleet::fleet_response none;
  none.set_status(fleet::fleet_unavailable);
  // The caller may have left and cancelled the job elsewhere.
  if (left <= milliseconds(0)) {
    none.set_reason(now < it->deadline ? "box-ends" : "callers-time-over");
    return try_later(it, std::move(none));
  }
  const box_id target = finder_.target(now);
  if (target.empty()) {
    none.set_reason("no-leader-in-reach");
    return try_later(it, std::move(none));
  }
  ask_target(it, target, now);
}

void entry_gateway_service::ask_target(const std::shared_ptr<question>& it,
                                       const box_id& target, time_point now) {
  ++it->tries;
  it->last_asked = target;
  mesh_->call(target, it->request, false,
              std::min(time_left(*it), detail::answer_limit),
              [this, it, target, now](fleet::fleet_response response) {
                note_outcome(*it, target, response.status(), now);
                const request_kind kind = detail::kind_of(it->request);
                if (settles(response.status(), kind, it->may_have_run)) {
                  note_refusal(*it, response);
                  return it->respond(std::move(response));
                }
                try_later(it, std::move(response));
              });
}

/// `unavailable` tells nothing for the box: the mesh says it of one that is out
/// of reach, and one that leads no more may be believed to for a while.
void entry_gateway_service::note_outcome(question& it, const box_id& target,
                                         fleet::fleet_status status,
                                         time_point since) {
  const time_point now = context_.clock.now();
  if (status == fleet::fleet_unavailable) {
    it.connecting += now - since;
  } else if (status == fleet::fleet_unknown) {
    it.may_have_run = true;
    ++it.unanswered;
    finder_.lost(target);
    tick();
  } else {
    finder_.answered(target, now);
  }
  note_for_held(it, target, status);
}

/// A caller that is told "not taken" can be followed to the try that said so.
void entry_gateway_service::note_refusal(
    const question& it, const fleet::fleet_response& last) const {
  const bool refused = last.status() == fleet::fleet_refused ||
                       last.status() == fleet::fleet_no_queue;
  if (!refused || !it.request.job().has_submit()) return;
  log_event(detail::gateway_name, log_level::info, "request-refused")
      .with("job", it.request.job().path())
      .with("cause", last.reason())
      .with("by", it.last_asked.str())
      .with("tries", it.tries)
      .with("unanswered", it.unanswered);
}

/// A request keeps its identity over all tries, so that asking again is safe;
/// once one try may have been taken, the whole may have.
void entry_gateway_service::try_later(const std::shared_ptr<question>& it,
                                      fleet::fleet_response last) {
  const time_point now = context_.clock.now();
  const unsettled_request request{now - it->asked, time_left(*it),
                                  it->may_have_run, it->connecting};
  if (asks_again(request)) {
    it->timer.expires_after(pause_after(last.status()));
    return it->timer.async_wait([this, it](boost::system::error_code ec) {
      if (!ec) try_now(it);
    });
  }
  if (may_hold(*it, last)) return hold(it);
  give_up(*it, std::move(last));
}

void entry_gateway_service::give_up(const question& it,
                                    fleet::fleet_response last) {
  const time_point now = context_.clock.now();
  if (it.may_have_run) last.set_status(fleet::fleet_unknown);
  if (last.status() == fleet::fleet_unavailable) {
    last.set_retry_after_ms(static_cast<uint64_t>(detail::back_after.count()));
  }
  log_event(detail::gateway_name, log_level::warn, "request-given-up")
      .with("job", it.request.has_job() ? it.request.job().path() : "")
      .with("cause", last.reason())
      .with("waited-ms", (now - it.asked).count())
      .with("may-have-run", it.may_have_run ? "yes" : "no")
      .with("tries", it.tries)
      .with("unanswered", it.unanswered)
      .with("last-asked", it.last_asked.str());
  it.respond(std::move(last));
}

}  // namespace kestrelreel

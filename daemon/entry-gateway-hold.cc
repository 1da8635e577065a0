// What an entry box holds while there is no leader.
#include <utility>

#include "daemon/entry-gateway-question.h"
#include "kernel/log.h"

namespace kestrelreel {
namespace detail {

constexpr const char* hold_name = "gateway";

const char* reason_of(hold_end cause) {
  switch (cause) {
    case hold_end::too_many_held:
      return "too-many-held";
    case hold_end::box_ends:
      return "box-ends";
    case hold_end::no_leader_in_time:
      break;
  }
  return "no-leader-in-time";
}

}  // namespace detail

time_point entry_gateway_service::held_until(const question& it) const {
  return std::min(it.deadline, it.asked + hold_.limits().usual_wait);
}

/// Only what was surely not taken is held: anything else is asked for again.
/// One that a leader is not expected for in time is answered at once.
bool entry_gateway_service::may_hold(const question& it,
                                     const fleet::fleet_response& last) const {
  const time_point now = context_.clock.now();
  if (!context_.settings.hold_without_leader || stopped_) return false;
  if (!it.request.job().has_submit() || it.may_have_run) return false;
  if (last.status() != fleet::fleet_unavailable || !configured_) return false;
  if (!was_in_reach_ || !hold_.leader_expected(now - in_reach_at_))
    return false;
  return hold_.has_time(std::min(held_until(it), context_.answers_due), now);
}

void entry_gateway_service::hold(const std::shared_ptr<question>& it) {
  last_held_ = last_held_.next();
  const submission_id id = last_held_;
  held_[id] = it;
  const size_t bytes = it->request.ByteSizeLong();
  for (const submission_id out : hold_.add(id, held_until(*it), bytes))
    end_held(out, hold_end::too_many_held);
  end_overdue();
  if (held_.contains(id) && !std::exchange(it->held, true)) {
    ++context_.metrics.counter("kestrelreel_submissions_held_total");
    log_event(detail::hold_name, log_level::info, "submission-held")
        .with("job", it->request.job().path())
        .with("left-ms", time_left(*it).count())
        .with("held", held_.size());
  }
  serve_held();
}

std::shared_ptr<entry_gateway_service::question>
entry_gateway_service::take_held(submission_id id) {
  const auto found = held_.find(id);
  const std::shared_ptr<question> it = found->second;
  held_.erase(found);
  return it;
}

/// No try of it may have been taken.
void entry_gateway_service::end_held(submission_id id, hold_end cause) {
  fleet::fleet_response none;
  none.set_status(fleet::fleet_unavailable);
  none.set_reason(detail::reason_of(cause));
  give_up(*take_held(id), std::move(none));
}

void entry_gateway_service::end_overdue() {
  for (const ended_submission& it :
       hold_.expire(context_.clock.now(), context_.answers_due)) {
    end_held(it.id, it.cause);
  }
  // A leader without a configuration takes no job.
  if (configured_) return;
  for (const submission_id id : hold_.take_all())
    end_held(id, hold_end::no_leader_in_time);
}

void entry_gateway_service::release_held() {
  const time_point now = context_.clock.now();
  const box_id target = note_target(now);
  if (target.empty()) return;
  for (const submission_id id : hold_.release(now)) {
    const std::shared_ptr<question> it = take_held(id);
    it->released = true;
    ++context_.metrics.counter("kestrelreel_submissions_released_total");
    log_event(detail::hold_name, log_level::info, "submission-released")
        .with("job", it->request.job().path())
        .with("to", target.str())
        .with("tries", it->tries)
        .with("waited-ms", (now - it->asked).count());
    ask_target(it, target, now);
  }
}

void entry_gateway_service::serve_held() {
  if (held_.empty() || stopped_) return;
  end_overdue();
  release_held();
  if (held_.empty() || std::exchange(hold_timer_armed_, true)) return;
  hold_timer_.expires_after(hold_.limits().release_interval);
  hold_timer_.async_wait([this](boost::system::error_code ec) {
    if (ec) return;
    hold_timer_armed_ = false;
    serve_held();
  });
}

/// Only what the present target says tells whether the others may follow.
void entry_gateway_service::note_for_held(const question& it,
                                          const box_id& target,
                                          fleet::fleet_status status) {
  if (target != last_target_ || !it.request.job().has_submit()) return;
  if (status == fleet::fleet_unavailable && it.released)
    return hold_.refused(context_.clock.now());
  const bool clear =
      status != fleet::fleet_unavailable && status != fleet::fleet_unknown;
  if (clear) hold_.answered();
}

}  // namespace kestrelreel

// What an entry box holds while there is no leader.
#include <utility>

#include "daemon/entry-gateway-question.h"
#include "kernel/log.h"

namespace kestrelreel {
namespace detail {

constexpr const char* hold_name = "gateway";
/// How often held submissions are reviewed.
constexpr milliseconds hold_interval{50};

}  // namespace detail

/// Only what was surely not taken is held: anything else is asked for again.
bool entry_gateway_service::may_hold(const question& it,
                                     const fleet::fleet_response& last) const {
  return context_.settings.hold_without_leader &&
         it.request.job().has_submit() && !it.may_have_run &&
         last.status() == fleet::fleet_unavailable &&
         hold_.has_time(std::min(it.deadline, context_.answers_due),
                        context_.clock.now());
}

void entry_gateway_service::hold(const std::shared_ptr<question>& it) {
  last_held_ = last_held_.next();
  held_[last_held_] = it;
  ++context_.metrics.counter("kestrelreel_submissions_held_total");
  log_event(detail::hold_name, log_level::info, "submission-held")
      .with("job", it->request.job().path())
      .with("left-ms", time_left(*it).count())
      .with("held", held_.size());
  if (const auto last = hold_.add(last_held_, it->deadline)) end_held(*last);
  serve_held();
}

std::shared_ptr<entry_gateway_service::question>
entry_gateway_service::take_held(submission_id id) {
  const auto found = held_.find(id);
  const std::shared_ptr<question> it = found->second;
  held_.erase(found);
  return it;
}

/// Nobody was asked.
void entry_gateway_service::end_held(submission_id id) {
  fleet::fleet_response none;
  none.set_status(fleet::fleet_unavailable);
  none.set_reason("no-leader-in-time");
  give_up(*take_held(id), std::move(none));
}

void entry_gateway_service::serve_held() {
  const time_point now = context_.clock.now();
  for (const submission_id id : hold_.expire(now, context_.answers_due))
    end_held(id);
  if (finder_.target_decides(now)) {
    for (const submission_id id : hold_.release(now)) try_now(take_held(id));
  }
  if (held_.empty() || std::exchange(hold_timer_armed_, true)) return;
  hold_timer_.expires_after(detail::hold_interval);
  hold_timer_.async_wait([this](boost::system::error_code ec) {
    hold_timer_armed_ = false;
    if (!ec) serve_held();
  });
}

}  // namespace kestrelreel

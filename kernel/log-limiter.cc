#include "kernel/log-limiter.h"

#include <algorithm>
#include <utility>

#include "base/text.h"

namespace kestrelreel {
namespace detail {

constexpr uint64_t thousandths = 1'000;
/// Of all lines, what one event may have at most is one part in so many.
constexpr uint64_t event_parts = 4;
/// Of the lines that are left, what is kept for rare events.
constexpr double kept_for_rare = 0.25;
/// An event is rare while it has more than this share of its own lines left: 30
/// of 100 at 400 lines a second, as many as workers that leave at once.
constexpr double rare_above = 0.7;
constexpr milliseconds report_dropped_every{1'000};
/// A line of each event is written so often, whatever else is: names are few.
constexpr milliseconds each_event_every{1'000};

}  // namespace detail

uint64_t line_budget::most() const {
  return lines_per_s_ * detail::thousandths;
}

void line_budget::refill(time_point now) {
  const int64_t passed = std::max<int64_t>((now - last_).count(), 0);
  // A pause of a second fills it.
  const auto counted =
      static_cast<uint64_t>(std::min<int64_t>(passed, detail::thousandths));
  credit_ = std::min(most(), credit_ + counted * lines_per_s_);
  last_ = std::max(last_, now);
}

bool line_budget::has(double reserved) const {
  const double least = reserved * static_cast<double>(most());
  return credit_ >= detail::thousandths && static_cast<double>(credit_) > least;
}

void line_budget::take() { credit_ -= detail::thousandths; }

bool log_limiter::allow(std::string_view event, time_point now) {
  auto found = events_.find(event);
  if (found == events_.end()) {
    const uint64_t share =
        std::max<uint64_t>(lines_per_s_ / detail::event_parts, 1);
    found = events_.emplace(std::string(event), event_state{line_budget(share)})
                .first;
  }
  event_state& it = found->second;
  it.budget.refill(now);
  all_.refill(now);
  const bool due =
      !it.written || now - it.written_at >= detail::each_event_every;
  const bool rare = it.budget.has(detail::rare_above);
  const bool own = it.budget.has(0);
  // What is refused for the others' sake counts as well: a frequent event must
  // not become a rare one by that.
  if (own) it.budget.take();
  const bool allowed = own && all_.has(rare ? 0 : detail::kept_for_rare);
  if (allowed || due) {
    it.written = true;
    it.written_at = now;
    if (allowed) all_.take();
    return true;
  }
  ++it.dropped;
  any_dropped_ = true;
  return false;
}

std::string log_limiter::take_dropped(time_point now) {
  if (!any_dropped_ ||
      now - dropped_reported_at_ < detail::report_dropped_every)
    return "";
  dropped_reported_at_ = now;
  any_dropped_ = false;
  std::string out;
  for (auto& [name, it] : events_) {
    if (it.dropped == 0) continue;
    str_append(out, out.empty() ? "" : ",", name, ":",
               std::exchange(it.dropped, 0));
  }
  return out;
}

}  // namespace kestrelreel

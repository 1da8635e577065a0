#include "daemon/leader-finder.h"

#include <algorithm>
#include <tuple>

namespace kestrelreel {
namespace detail {

/// A box is greeted so often while it serves, and while none does.
constexpr milliseconds calm_greeting{1'000};
constexpr milliseconds search_greeting{250};
/// While none is known to serve, so many are greeted in that time: with all of
/// them, a search of all entry boxes at once costs each control box as many
/// greetings as there are entry boxes.
constexpr size_t search_width = 8;
/// What a box said holds for so long: two greetings and a slow answer.
constexpr milliseconds believed_for{2'600};

}  // namespace detail

void leader_finder::know(const box_id& box) { controls_[box]; }

void leader_finder::heard(const box_id& from, const fleet::box_hello& it,
                          time_point now) {
  control& entry = controls_[from];
  entry.heard_at = now;
  entry.decides = it.decides();
  entry.leader = it.leader();
  for (const std::string& box : it.controls()) know(box_id(box));
}

void leader_finder::answered(const box_id& from, time_point now) {
  control& entry = controls_[from];
  if (entry.heard_at) entry.heard_at = now;
}

void leader_finder::lost(const box_id& box) {
  control& entry = controls_[box];
  entry.heard_at.reset();
  entry.decides = false;
  entry.leader.clear();
}

bool leader_finder::fresh(const control& it, time_point now) const {
  return it.heard_at && now - *it.heard_at < detail::believed_for;
}

box_id leader_finder::target(time_point now) const {
  box_id relay;
  box_id decider;
  time_point decided_at{};
  for (const auto& [box, it] : controls_) {
    if (!fresh(it, now)) continue;
    // A frozen one can't take back what it said.
    if (it.decides && (decider.empty() || *it.heard_at > decided_at)) {
      decider = box;
      decided_at = *it.heard_at;
    }
    if (!it.leader.empty() && it.leader != box.str() && relay.empty()) {
      relay = box;
    }
  }
  return decider.empty() ? relay : decider;
}

bool leader_finder::target_decides(time_point now) const {
  const auto it = controls_.find(target(now));
  return it != controls_.end() && it->second.decides;
}

std::vector<box_id> leader_finder::to_greet(time_point now) {
  if (!target_decides(now)) return to_search(now);
  control& serving = controls_[target(now)];
  if (serving.greeted_at && now - *serving.greeted_at < detail::calm_greeting) {
    return {};
  }
  serving.greeted_at = now;
  return {target(now)};
}

/// Those first that another one names as the leader, then those that were
/// greeted longest ago.
std::vector<box_id> leader_finder::to_search(time_point now) {
  std::set<box_id> named;
  for (const auto& [box, it] : controls_) {
    if (fresh(it, now) && !it.leader.empty()) named.insert(box_id(it.leader));
  }
  std::vector<std::tuple<bool, time_point, box_id>> due;
  size_t greeted = 0;
  for (const auto& [box, it] : controls_) {
    const bool lately =
        it.greeted_at && now - *it.greeted_at < detail::search_greeting;
    if (lately) ++greeted;
    if (lately) continue;
    due.emplace_back(!named.contains(box),
                     it.greeted_at.value_or(time_point::min()), box);
  }
  std::sort(due.begin(), due.end());
  const size_t most =
      detail::search_width - std::min(detail::search_width, greeted);
  std::vector<box_id> out;
  for (const auto& [unnamed, last, box] : due) {
    if (out.size() >= most) break;
    controls_[box].greeted_at = now;
    out.push_back(box);
  }
  return out;
}

}  // namespace kestrelreel

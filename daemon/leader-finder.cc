#include "daemon/leader-finder.h"

namespace kestrelreel {
namespace detail {

/// A box is greeted so often while it serves, and while none does.
constexpr milliseconds calm_greeting{1'000};
constexpr milliseconds search_greeting{250};
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
  const box_id serving = target(now);
  const bool calm = target_decides(now);
  std::vector<box_id> due;
  for (auto& [box, it] : controls_) {
    if (calm && box != serving) continue;
    const milliseconds every =
        calm ? detail::calm_greeting : detail::search_greeting;
    if (it.greeted_at && now - *it.greeted_at < every) continue;
    it.greeted_at = now;
    due.push_back(box);
  }
  return due;
}

}  // namespace kestrelreel

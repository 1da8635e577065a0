#include "consensus/leader-lease.h"

namespace kestrelreel {

void leader_lease::after_tick(const raft& state) {
  if (state.role() != raft_role::leader) return rounds_.clear();
  if (state.term() != term_) rounds_.clear();
  term_ = state.term();
  const bool new_round =
      rounds_.empty() || rounds_.back().round != state.round();
  if (new_round && state.round() > 0) {
    rounds_.push_back({state.round(), tick_began_});
  }
}

bool leader_lease::valid(const raft& state, time_point now) {
  if (!state.is_ready_leader() || state.term() != term_) return false;
  const uint64_t answered = state.quorum_round();
  while (rounds_.size() > 1 && rounds_[1].round <= answered) {
    rounds_.pop_front();
  }
  if (rounds_.empty() || rounds_.front().round > answered) return false;
  return now - rounds_.front().at < duration_;
}

}  // namespace kestrelreel

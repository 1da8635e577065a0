// Membership: the leader's replication state of each follower, and the changes
// of voters and learners, one at a time.
#include <algorithm>
#include <utility>

#include "consensus/quorum.h"
#include "consensus/raft.h"

namespace kestrelreel {

/// Rebuilds the followers from the membership and keeps the progress of those
/// whose identity is unchanged.
void raft::refresh_progress() {
  std::map<std::string, follower_progress> updated;
  const auto add_member = [&](const proto::replica& member, bool learner) {
    if (member.box() == settings_.self.str()) return;
    follower_progress& it = updated[member.box()];
    const auto old = progress_.find(member.box());
    const bool same =
        old != progress_.end() && old->second.identity == member.identity();
    if (same) it = old->second;
    if (!same) it.start_after(log_.last_index());
    it.identity = member.identity();
    it.learner = learner;
  };
  for (const proto::replica& it : members().voters()) add_member(it, false);
  for (const proto::replica& it : members().learners()) add_member(it, true);
  progress_ = std::move(updated);
}

bool raft::membership_settled() const {
  const bool pending =
      !memberships_.empty() && memberships_.rbegin()->first > commit_;
  return !pending && log_.term_at(commit_) == term_;
}

/// Repairs the membership one step at a time. Of a box that lost its data
/// folder, the old replica is removed, the new one joins as a learner, and it
/// becomes a voter once it has caught up.
void raft::repair_membership() {
  if (!membership_settled()) return;
  if (admit_unknown_replica()) return;
  if (promote_learner()) return;
  remove_surplus_voter();
}

/// Removes one silent voter while there are more than the target.
bool raft::remove_surplus_voter() {
  const auto n = static_cast<unsigned>(members().voters_size());
  if (settings_.target_voters == 0 || n <= settings_.target_voters) {
    return false;
  }
  for (const proto::replica& voter : members().voters()) {
    const auto it = progress_.find(voter.box());
    if (it == progress_.end()) continue;
    if (it->second.silent_ticks < settings_.silent_ticks) continue;
    return propose_membership(without_box(members(), voter.box())).ok();
  }
  return false;
}

/// Adds one replica that announced itself, as a learner. A voter on the same
/// box with another identity is removed first.
bool raft::admit_unknown_replica() {
  for (const auto& [box, identity] : unknown_replicas_) {
    if (is_member(members(), box, identity)) continue;
    proto::membership next = without_box(members(), box);
    const bool replaces_voter = find_voter(members(), box) != nullptr;
    if (replaces_voter && next.voters_size() == 0) continue;
    if (!replaces_voter) {
      proto::replica* it = next.add_learners();
      it->set_box(box);
      it->set_identity(identity);
    }
    return propose_membership(next).ok();
  }
  unknown_replicas_.clear();
  return false;
}

/// True while fewer voters answer than the target.
bool raft::needs_voter() const {
  if (settings_.target_voters == 0) return true;
  const auto& voters = members().voters();
  const auto n = std::count_if(voters.begin(), voters.end(), [&](auto& it) {
    const auto found = progress_.find(it.box());
    return it.box() == settings_.self.str() ||
           (found != progress_.end() &&
            found->second.silent_ticks < settings_.silent_ticks);
  });
  return static_cast<unsigned>(n) < settings_.target_voters;
}

/// The number of voters in the box's data centre.
unsigned raft::voters_in_data_centre_of(const std::string& box) const {
  const auto data_centre = data_centres_.find(box);
  if (data_centre == data_centres_.end()) return 0;
  const auto& voters = members().voters();
  return static_cast<unsigned>(
      std::count_if(voters.begin(), voters.end(), [&](auto& it) {
        const auto found = data_centres_.find(it.box());
        return found != data_centres_.end() &&
               found->second == data_centre->second;
      }));
}

bool raft::is_caught_up(const follower_progress& it) const {
  return it.silent_ticks <= settings_.heartbeat_ticks &&
         it.match() >= std::min(commit_, heartbeat_commit_);
}

/// Promotes a learner that has caught up, preferring the data centre with the
/// fewest voters.
bool raft::promote_learner() {
  if (!needs_voter()) return false;
  const proto::replica* best = nullptr;
  for (const proto::replica& learner : members().learners()) {
    const auto it = progress_.find(learner.box());
    if (it == progress_.end() || !is_caught_up(it->second)) continue;
    const bool better =
        best == nullptr || voters_in_data_centre_of(learner.box()) <
                               voters_in_data_centre_of(best->box());
    if (better) best = &learner;
  }
  if (best == nullptr) return false;
  const proto::replica chosen = *best;
  proto::membership next = without_box(members(), chosen.box());
  *next.add_voters() = chosen;
  return propose_membership(next).ok();
}

}  // namespace kestrelreel

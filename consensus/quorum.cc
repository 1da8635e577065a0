#include "consensus/quorum.h"

#include <algorithm>
#include <vector>

namespace kestrelreel {
namespace detail {

template <typename Replicas>
bool contains(const Replicas& replicas, const std::string& box,
              const std::string& identity) {
  return std::any_of(replicas.begin(), replicas.end(), [&](const auto& it) {
    return it.box() == box && it.identity() == identity;
  });
}

}  // namespace detail

bool is_voter(const proto::membership& members, const std::string& box,
              const std::string& identity) {
  return detail::contains(members.voters(), box, identity);
}

bool is_member(const proto::membership& members, const std::string& box,
               const std::string& identity) {
  return is_voter(members, box, identity) ||
         detail::contains(members.learners(), box, identity);
}

const proto::replica* find_voter(const proto::membership& members,
                                 const std::string& box) {
  for (const proto::replica& it : members.voters()) {
    if (it.box() == box) return &it;
  }
  return nullptr;
}

size_t majority(const proto::membership& members) {
  return static_cast<size_t>(members.voters_size()) / 2 + 1;
}

bool has_majority(const proto::membership& members,
                  const std::function<bool(const proto::replica&)>& holds) {
  const auto& voters = members.voters();
  const auto n = std::count_if(voters.begin(), voters.end(), holds);
  return static_cast<size_t>(n) >= majority(members);
}

uint64_t majority_index(
    const proto::membership& members,
    const std::function<uint64_t(const proto::replica&)>& match) {
  std::vector<uint64_t> indexes;
  for (const proto::replica& it : members.voters()) {
    indexes.push_back(match(it));
  }
  if (indexes.empty()) return 0;
  std::sort(indexes.begin(), indexes.end(), std::greater<>());
  return indexes[majority(members) - 1];
}

proto::membership without_box(const proto::membership& members,
                              const std::string& box) {
  proto::membership result;
  for (const proto::replica& it : members.voters()) {
    if (it.box() != box) *result.add_voters() = it;
  }
  for (const proto::replica& it : members.learners()) {
    if (it.box() != box) *result.add_learners() = it;
  }
  return result;
}

}  // namespace kestrelreel

// Queries on a membership of the replicated log.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "proto/consensus.pb.h"

namespace kestrelreel {

/// True when that box with that data folder is a voter.
bool is_voter(const proto::membership& members, const std::string& box,
              const std::string& identity);
/// True when that box with that data folder is a voter or a learner.
bool is_member(const proto::membership& members, const std::string& box,
               const std::string& identity);
/// The voter on that box, whatever its identity; null when there is none.
const proto::replica* find_voter(const proto::membership& members,
                                 const std::string& box);

/// The number of voters in a majority.
size_t majority(const proto::membership& members);
/// True when a majority of the voters satisfies `holds`.
bool has_majority(const proto::membership& members,
                  const std::function<bool(const proto::replica&)>& holds);
/// The highest index that a majority of the voters holds; `match` gives the
/// index of one voter.
uint64_t majority_index(
    const proto::membership& members,
    const std::function<uint64_t(const proto::replica&)>& match);

/// The membership without that box, whether it is a voter or a learner.
proto::membership without_box(const proto::membership& members,
                              const std::string& box);

}  // namespace kestrelreel

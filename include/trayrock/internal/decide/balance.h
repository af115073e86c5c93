// Plans which of a node's own shards move to other nodes to balance the load.
//
// One plan covers all receivers, so that a first start or the loss of a data
// centre is balanced in one step.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace trayrock {

// Number of shards by owner. Nodes that are leaving are absent.
using owned_counts = std::map<std::string, std::size_t>;

// Returns the receiver of each shard that should move. If `self` is absent from
// `owned` it is leaving, and all its shards move. Differences of one shard
// between nodes are not balanced.
std::map<std::uint32_t, std::string> plan_balance(
    const std::string& self, const std::set<std::uint32_t>& served,
    owned_counts owned, std::size_t all_shards);

}  // namespace trayrock

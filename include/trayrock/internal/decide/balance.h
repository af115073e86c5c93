// Which of the own shards go to which node, so that all have a fair part.
//
// One plan serves many receivers at once: with one receiver at a time, a
// first start or a lost place would take as many steps as there are nodes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace trayrock {

// Shards owned by each node that may own shards; leaving nodes are absent.
using owned_counts = std::map<std::string, std::size_t>;

// Gives the receiver of each shard that should move. A node that is absent
// from `owned` is leaving: it gives all away. Nodes within one shard of the
// fair part are left alone.
std::map<std::uint32_t, std::string> plan_balance(
    const std::string& self, const std::set<std::uint32_t>& served,
    owned_counts owned, std::size_t all_shards);

}  // namespace trayrock

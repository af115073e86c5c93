#include "trayrock/internal/decide/balance.h"

#include <algorithm>

namespace trayrock {

std::map<std::uint32_t, std::string> plan_balance(
    const std::string& self, const std::set<std::uint32_t>& served,
    owned_counts owned, std::size_t all_shards) {
  std::map<std::uint32_t, std::string> plan;
  const bool leaving = owned.erase(self) == 0;
  if (owned.empty()) {
    return plan;
  }
  const std::size_t owners = owned.size() + (leaving ? 0 : 1);
  const std::size_t fair_share = (all_shards + owners - 1) / owners;
  std::size_t remaining = served.size();
  for (const std::uint32_t shard : served) {
    const auto least = std::min_element(
        owned.begin(), owned.end(), [](const auto& left, const auto& right) {
          return left.second < right.second;
        });
    const bool has_surplus =
        remaining > fair_share || remaining > least->second + 1;
    const bool has_room = least->second < fair_share;
    if (!leaving && (!has_surplus || !has_room)) {
      break;
    }
    plan[shard] = least->first;
    ++least->second;
    --remaining;
  }
  return plan;
}

}  // namespace trayrock

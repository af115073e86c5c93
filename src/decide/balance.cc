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
  const std::size_t holders = owned.size() + (leaving ? 0 : 1);
  const std::size_t fair = (all_shards + holders - 1) / holders;
  std::size_t mine = served.size();
  for (const std::uint32_t shard : served) {
    const auto least = std::min_element(
        owned.begin(), owned.end(), [](const auto& left, const auto& right) {
          return left.second < right.second;
        });
    const bool surplus = mine > fair || mine > least->second + 1;
    const bool room = least->second < fair;
    if (!leaving && (!surplus || !room)) {
      break;
    }
    plan[shard] = least->first;
    ++least->second;
    --mine;
  }
  return plan;
}

}  // namespace trayrock

#include "trayrock/internal/decide/token_budget.h"

#include <algorithm>

namespace trayrock {

void program_usage::add(const turn_usage& turn) {
  auto [found, added] = turns_.try_emplace(turn.attempt, turn);
  if (added) {
    return;
  }
  turn_usage& held = found->second;
  held.reserved = std::max(held.reserved, turn.reserved);
  held.used = std::max(held.used, turn.used);
  held.settled = held.settled || turn.settled;
}

std::uint64_t program_usage::used() const {
  std::uint64_t sum = 0;
  for (const auto& [attempt, turn] : turns_) {
    sum += turn.settled ? turn.used : 0;
  }
  return sum;
}

std::uint64_t program_usage::open() const {
  std::uint64_t sum = 0;
  for (const auto& [attempt, turn] : turns_) {
    sum += turn.settled ? 0 : turn.reserved;
  }
  return sum;
}

budget_verdict program_usage::decide(std::string_view attempt,
                                     std::uint64_t most,
                                     std::uint64_t budget) const {
  const auto own = turns_.find(attempt);
  const bool counted = own != turns_.end() && !own->second.settled;
  const std::uint64_t others = open() - (counted ? own->second.reserved : 0);
  if (used() + most > budget) {
    return budget_verdict::spent;
  }
  return used() + others + most > budget ? budget_verdict::wait
                                         : budget_verdict::fits;
}

}  // namespace trayrock

#include "trayrock/internal/decide/token_budget.h"

#include <algorithm>

namespace trayrock {

void program_usage::add(const turn_usage& turn) {
  auto [found, added] = turns_.try_emplace(turn.attempt, turn);
  turn_usage& known = found->second;
  if (!added) {
    discount(known);
    known.reserved = std::max(known.reserved, turn.reserved);
    known.used = std::max(known.used, turn.used);
    known.settled = known.settled || turn.settled;
  }
  count(known);
}

void program_usage::count(const turn_usage& turn) {
  (turn.settled ? used_ : open_) += turn.settled ? turn.used : turn.reserved;
}

void program_usage::discount(const turn_usage& turn) {
  (turn.settled ? used_ : open_) -= turn.settled ? turn.used : turn.reserved;
}

budget_verdict program_usage::decide(std::string_view attempt,
                                     std::uint64_t max_tokens,
                                     std::uint64_t budget) const {
  const auto own = turns_.find(attempt);
  const bool is_reserved = own != turns_.end() && !own->second.settled;
  const std::uint64_t reserved_by_others =
      open() - (is_reserved ? own->second.reserved : 0);
  if (used() + max_tokens > budget) {
    return budget_verdict::spent;
  }
  return used() + reserved_by_others + max_tokens > budget
             ? budget_verdict::wait
             : budget_verdict::fits;
}

bool program_usage::has_other_turns(std::string_view attempt) const {
  return std::any_of(turns_.begin(), turns_.end(), [&](const auto& each) {
    const turn_usage& turn = each.second;
    return each.first != attempt && (!turn.settled || turn.used > 0);
  });
}

}  // namespace trayrock

#include "trayrock/internal/decide/urgency.h"

#include <algorithm>

namespace trayrock {
namespace {

// Higher ranks count as this one.
constexpr std::uint32_t max_rank = 2;
// One step for programs in progress and one for new ones.
constexpr int steps_per_rank = 2;

}  // namespace

int urgency_of(const turn_view& turn) {
  if (!turn.program_time_left) {
    return default_urgency;
  }
  if (turn.program_time_left->count() <= 0) {
    return overdue_urgency;
  }
  const int rank = static_cast<int>(std::min(turn.rank, max_rank));
  return steps_per_rank * rank + (turn.program_in_progress ? 1 : 2);
}

}  // namespace trayrock

#include "trayrock/internal/decide/urgency.h"

#include <algorithm>

namespace trayrock {
namespace {

// Ranks behind it count alike.
constexpr std::uint32_t least_urgent_rank = 2;
// Those under way, and new ones.
constexpr int steps_a_rank = 2;

}  // namespace

int urgency_of(const turn_view& turn) {
  if (!turn.program_time_left) {
    return usual_urgency;
  }
  if (turn.program_time_left->count() <= 0) {
    return urgency_late;
  }
  const int of_rank = static_cast<int>(std::min(turn.rank, least_urgent_rank));
  return steps_a_rank * of_rank + (turn.program_in_progress ? 1 : 2);
}

}  // namespace trayrock

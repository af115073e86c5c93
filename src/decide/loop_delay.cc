#include "trayrock/internal/decide/loop_delay.h"

#include <algorithm>
#include <utility>

namespace trayrock {

void loop_delay::tick(std::uint64_t now_ms) {
  const std::uint64_t due_ms = last_tick_ms_ + tick_period_ms;
  last_ms_ = now_ms > due_ms ? now_ms - due_ms : 0;
  max_ms_ = std::max(max_ms_, last_ms_);
  last_tick_ms_ = now_ms;
}

std::uint64_t loop_delay::take_max_ms() { return std::exchange(max_ms_, 0); }

}  // namespace trayrock

#include "trayrock/internal/decide/loop_delay.h"

#include <algorithm>
#include <utility>

namespace trayrock {
namespace {

// A timer of a loop that has enough processor time is late by up to this.
constexpr std::uint64_t usual_delay_ms = 10;

}  // namespace

std::uint64_t loop_delay::attended_ms(std::uint64_t now_ms) const {
  const std::uint64_t since_tick_ms =
      now_ms > last_tick_ms_ ? now_ms - last_tick_ms_ : 0;
  return attended_ms_ +
         std::min(since_tick_ms, tick_period_ms + usual_delay_ms);
}

void loop_delay::resume(std::uint64_t now_ms) {
  attended_ms_ = attended_ms(now_ms);
  last_tick_ms_ = now_ms;
}

void loop_delay::tick(std::uint64_t now_ms) {
  attended_ms_ = attended_ms(now_ms);
  const std::uint64_t due_ms = last_tick_ms_ + tick_period_ms;
  last_ms_ = now_ms > due_ms ? now_ms - due_ms : 0;
  max_ms_ = std::max(max_ms_, last_ms_);
  last_tick_ms_ = now_ms;
}

std::uint64_t loop_delay::take_max_ms() { return std::exchange(max_ms_, 0); }

}  // namespace trayrock

#include "trayrock/internal/decide/isolation_detector.h"

#include <algorithm>

namespace trayrock {
namespace {

// Longer than the timeout of a call to a store and of the same call by way of a
// peer together.
constexpr std::uint64_t max_silence_ms = 800;

}  // namespace

void isolation_detector::on_request_sent(std::uint64_t now_ms) {
  if (unanswered_since_ms_ == 0) {
    unanswered_since_ms_ = std::max<std::uint64_t>(now_ms, 1);
  }
}

void isolation_detector::on_reply() {
  unanswered_since_ms_ = 0;
  isolated_since_ms_ = 0;
}

// Replies that arrived while this process was late are not read yet. Not
// attended time (decide/loop_delay.h), since callers subtract
// isolated_since_ms() from now_ms().
std::uint64_t isolation_detector::lateness(std::uint64_t now_ms) const {
  const std::uint64_t due_ms =
      last_tick_ms_ == 0 ? now_ms : last_tick_ms_ + tick_period_ms;
  return now_ms > due_ms ? now_ms - due_ms : 0;
}

void isolation_detector::tick(std::uint64_t now_ms) {
  const std::uint64_t late_ms = lateness(now_ms);
  last_tick_ms_ = now_ms;
  if (unanswered_since_ms_ == 0 || is_isolated()) {
    return;
  }
  unanswered_since_ms_ = std::min(unanswered_since_ms_ + late_ms, now_ms);
  if (now_ms - unanswered_since_ms_ >= max_silence_ms) {
    isolated_since_ms_ = unanswered_since_ms_;
  }
}

}  // namespace trayrock

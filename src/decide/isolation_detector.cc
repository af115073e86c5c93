#include "trayrock/internal/decide/isolation_detector.h"

#include <algorithm>

namespace trayrock {
namespace {

// Longer than the timeout of a call to a store and of the same call by way of a
// peer together.
constexpr std::uint64_t max_silence_ms = 800;
// A longer interval between ticks means that this process was stalled: replies
// that arrived meanwhile are not read yet.
constexpr std::uint64_t stall_threshold_ms =
    4 * isolation_detector::tick_period_ms;

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

void isolation_detector::tick(std::uint64_t now_ms) {
  const bool stalled =
      last_tick_ms_ != 0 && now_ms - last_tick_ms_ >= stall_threshold_ms;
  last_tick_ms_ = now_ms;
  if (unanswered_since_ms_ == 0 || is_isolated()) {
    return;
  }
  if (stalled) {
    unanswered_since_ms_ = now_ms;
  } else if (now_ms - unanswered_since_ms_ >= max_silence_ms) {
    isolated_since_ms_ = unanswered_since_ms_;
  }
}

}  // namespace trayrock

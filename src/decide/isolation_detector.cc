#include "trayrock/internal/decide/isolation_detector.h"

#include <algorithm>

namespace trayrock {
namespace {

// A store that is silent for 350 ms is asked by a peer, which has 350 ms to say
// at least that it does not reach it. Answers take 2 to 15 ms, of a busy disk
// some tens.
constexpr std::uint64_t longest_silence_ms = 800;
// A tick that is this late says that this process stood still, and what others
// sent meanwhile is not read yet.
constexpr std::uint64_t late_tick_ms = 4 * isolation_detector::tick_period_ms;

}  // namespace

void isolation_detector::on_request_sent(std::uint64_t now_ms) {
  if (unanswered_since_ms_ == 0) {
    unanswered_since_ms_ = std::max<std::uint64_t>(now_ms, 1);
  }
}

void isolation_detector::on_reply() {
  unanswered_since_ms_ = 0;
  cut_off_since_ms_ = 0;
}

void isolation_detector::tick(std::uint64_t now_ms) {
  const bool stood_still =
      ticked_at_ms_ != 0 && now_ms - ticked_at_ms_ >= late_tick_ms;
  ticked_at_ms_ = now_ms;
  if (unanswered_since_ms_ == 0 || is_isolated()) {
    return;
  }
  if (stood_still) {
    unanswered_since_ms_ = now_ms;
  } else if (now_ms - unanswered_since_ms_ >= longest_silence_ms) {
    cut_off_since_ms_ = unanswered_since_ms_;
  }
}

}  // namespace trayrock

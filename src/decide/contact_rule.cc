#include "trayrock/internal/decide/contact_rule.h"

#include <algorithm>

namespace trayrock {
namespace {

// A store that is silent for 350 ms is asked by a peer, which has 350 ms to say
// at least that it does not reach it. Answers take 2 to 15 ms, of a busy disk
// some tens.
constexpr std::uint64_t longest_silence_ms = 800;
// A tick that is this late says that this process stood still, and what others
// sent meanwhile is not read yet.
constexpr std::uint64_t late_tick_ms = 4 * contact_rule::tick_period_ms;

}  // namespace

void contact_rule::asked(std::uint64_t now_ms) {
  if (unanswered_since_ms_ == 0) {
    unanswered_since_ms_ = std::max<std::uint64_t>(now_ms, 1);
  }
}

void contact_rule::heard() {
  unanswered_since_ms_ = 0;
  cut_off_since_ms_ = 0;
}

void contact_rule::tick(std::uint64_t now_ms) {
  const bool stood_still =
      ticked_at_ms_ != 0 && now_ms - ticked_at_ms_ >= late_tick_ms;
  ticked_at_ms_ = now_ms;
  if (unanswered_since_ms_ == 0 || cut_off()) {
    return;
  }
  if (stood_still) {
    unanswered_since_ms_ = now_ms;
  } else if (now_ms - unanswered_since_ms_ >= longest_silence_ms) {
    cut_off_since_ms_ = unanswered_since_ms_;
  }
}

}  // namespace trayrock

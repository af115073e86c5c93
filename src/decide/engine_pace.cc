#include "trayrock/internal/decide/engine_pace.h"

#include <algorithm>

namespace trayrock {
namespace {

// Weight of the latest response in the moving average.
constexpr double weight = 0.2;
// Several turns of a program, so that an engine that is found slow is left
// alone for that long.
constexpr std::uint64_t max_age_ms = 5000;
// Engines are compared within these bounds: a single odd pace must not draw or
// repel all turns.
constexpr double min_relative = 0.5;
constexpr double max_relative = 4;

}  // namespace

void engine_pace::record(double event_gap_ms, std::uint64_t now_ms) {
  if (this->event_gap_ms(now_ms) == 0) {
    event_gap_ms_ = event_gap_ms;
  } else {
    event_gap_ms_ += weight * (event_gap_ms - event_gap_ms_);
  }
  at_ms_ = now_ms;
}

double engine_pace::event_gap_ms(std::uint64_t now_ms) const {
  return at_ms_ + max_age_ms < now_ms ? 0 : event_gap_ms_;
}

engine_pace_scale engine_pace_scale::of_gaps(std::span<double> event_gaps_ms) {
  engine_pace_scale made;
  const auto known = std::partition(event_gaps_ms.begin(), event_gaps_ms.end(),
                                    [](double each) { return each <= 0; });
  if (known == event_gaps_ms.end()) {
    return made;
  }
  const auto middle = known + (event_gaps_ms.end() - known) / 2;
  std::nth_element(known, middle, event_gaps_ms.end());
  made.median_ms_ = *middle;
  return made;
}

double engine_pace_scale::relative(const engine_pace& of,
                                   std::uint64_t now_ms) const {
  const double gap_ms = of.event_gap_ms(now_ms);
  return gap_ms <= 0 || median_ms_ <= 0
             ? 1
             : std::clamp(gap_ms / median_ms_, min_relative, max_relative);
}

}  // namespace trayrock

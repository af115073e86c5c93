// How urgent a turn of a program is to a model engine.
//
// Under overload an engine admits the more urgent of those that wait first.
// What matters to callers is whether whole programs end in time. A program
// whose time is over is still answered, but behind all that can be in time;
// otherwise one burst would leave everybody late for good, each for the sake of
// those that are late already. Of those in time, programs under way go before
// new ones: they would lose what was spent on them.
//
// No I/O and no clock.
//
// Example:
//   const int urgency = urgency_of({time_left, true, 1});  // 3
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace trayrock {

// From 0, the most urgent, to 9; 5 is usual.
constexpr int usual_urgency = 5;
constexpr int urgency_late = 8;

struct turn_view {
  // Until its program should be over; nothing: it does not say.
  std::optional<std::chrono::milliseconds> program_time_left;
  bool program_in_progress = false;  // its program is under way
  std::uint32_t rank = 0;            // of its route; 0 is the most urgent
};

int urgency_of(const turn_view& turn);

}  // namespace trayrock

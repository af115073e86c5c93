// The urgency of a program's turn, by which an overloaded model engine orders
// its queue. No I/O and no clock.
//
// Callers need whole programs to complete in time. Overdue programs are still
// served, but after all that can be in time: otherwise a burst would make all
// later programs overdue too. Programs in progress come before new ones, since
// the work spent on them would be lost.
//
// Example:
//   const int urgency = urgency_of({time_left, true, 1});  // 3
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace trayrock {

// Urgencies are from 0, the most urgent, to 9.
constexpr int default_urgency = 5;
constexpr int overdue_urgency = 8;

struct turn_view {
  // Until the program's deadline; no value: it has none.
  std::optional<std::chrono::milliseconds> program_time_left;
  bool program_in_progress = false;
  std::uint32_t rank = 0;  // of the route; 0 is the most urgent
};

int urgency_of(const turn_view& turn);

}  // namespace trayrock

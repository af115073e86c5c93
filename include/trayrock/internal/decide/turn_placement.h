// Input of the choice of an engine for a turn whose prompt an engine may hold
// in its cache (place_turn() in decide/endpoint_choice.h).
//
// Example:
//   turn_criteria turn;
//   turn.held_by = recent.find_line(line, now);
//   turn.program_hash = hash_of_program(line);
//   turn.active_lines = [&](const endpoint_identity& at) {
//     return recent.active_lines(at, now);
//   };
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>

#include "trayrock/internal/decide/endpoint_identity.h"
#include "trayrock/internal/decide/recent_placements.h"

namespace trayrock {

struct turn_criteria {
  // The engine expected to hold the prompt: that of the line's last turn, or of
  // another line of its program.
  std::optional<endpoint_identity> held_by;
  // The program's first turn: no engine holds its prompt.
  bool is_first = false;
  std::uint64_t program_hash = 0;
  // The lines of turns that this gateway has at an engine.
  std::function<std::uint32_t(const endpoint_identity&)> active_lines;
};

// The rank of an endpoint for a program, by rendezvous hashing: all gateways
// agree on the highest one. Changes of the list of endpoints move only the
// programs of those that come or go.
std::uint64_t rendezvous_rank(std::uint64_t program_hash,
                              const endpoint_identity& at);

}  // namespace trayrock

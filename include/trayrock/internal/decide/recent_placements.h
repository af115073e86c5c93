// Where a gateway recently sent the turns of programs. No I/O; the caller
// passes the time.
//
// A client that sends the whole conversation with each turn doesn't name the
// previous turn. The record stores tell the engine of the line's last turn once
// that has settled; this table knows it at once, and without the stores. It
// also counts the lines of turns that each engine has: between two turns a line
// has no request in flight, and an engine with many such lines would look idle.
//
// Example:
//   recent_placements recent;
//   recent.record({program, session}, engine, now);
//   if (const auto held_by = recent.find_line({program, session}, now)) {
//     prefer(*held_by);
//   }
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "trayrock/internal/decide/endpoint_identity.h"

namespace trayrock {

// A line of turns: a program, or a sub-agent within it, has one each.
struct turn_line {
  std::string_view program;
  std::string_view session;
  std::string_view workspace = {};  // empty: none
};

std::uint64_t hash_of_program(const turn_line& line);
// Never 0.
std::uint64_t hash_of_line(const turn_line& line);

class recent_placements {
 public:
  void record(const turn_line& line, const endpoint_identity& endpoint,
              std::uint64_t now_ms);

  // The endpoint broke off the line's last turn: neither the line nor its
  // program is known to have its prompt there.
  void forget(const turn_line& line, const endpoint_identity& endpoint);

  // Where the last turn of the line, or of any line of its program, was sent.
  std::optional<endpoint_identity> find_line(const turn_line& line,
                                             std::uint64_t now_ms) const;
  std::optional<endpoint_identity> find_program(const turn_line& line,
                                                std::uint64_t now_ms) const;

  // The number of lines that had a turn at the endpoint within the last
  // `active_ms`.
  std::uint32_t active_lines(const endpoint_identity& endpoint,
                             std::uint64_t now_ms);

  std::size_t size() const { return by_key_.size(); }

  // Longer than the pause between two turns of a program.
  static constexpr std::uint64_t active_ms = 1000;

 private:
  struct entry {
    endpoint_identity endpoint;
    std::uint64_t at_ms = 0;
    bool is_active = false;
  };
  struct mark {
    std::uint64_t at_ms = 0;
    std::uint64_t key = 0;
  };

  void put(std::uint64_t key, const endpoint_identity& endpoint,
           std::uint64_t now_ms, bool is_line);
  void erase(std::uint64_t key, const endpoint_identity& endpoint);
  void deactivate(entry& from);
  void remove_expired(std::uint64_t now_ms);
  std::optional<endpoint_identity> find(std::uint64_t key,
                                        std::uint64_t now_ms) const;

  std::unordered_map<std::uint64_t, entry> by_key_;  // by hash
  std::unordered_map<endpoint_identity, std::uint32_t, endpoint_identity_hash>
      active_;
  std::deque<mark> active_marks_;
  std::deque<mark> marks_;
};

}  // namespace trayrock

// The programs of which a gateway forwarded a turn recently. No I/O; the caller
// passes the time.
//
// Not each turn names the previous one, so a gateway takes a program to be in
// progress if it is recorded here.
//
// Example:
//   recent_programs recent;
//   recent.record("program", now);
//   const bool in_progress = recent.contains("program", now);
#pragma once

#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_map>

namespace trayrock {

class recent_programs {
 public:
  void record(std::string_view program, std::uint64_t now_ms);
  bool contains(std::string_view program, std::uint64_t now_ms) const;

  std::size_t size() const { return last_ms_.size(); }

 private:
  struct entry {
    std::uint64_t at_ms = 0;
    std::uint64_t hash = 0;
  };

  void remove_expired(std::uint64_t now_ms);

  std::unordered_map<std::uint64_t, std::uint64_t> last_ms_;  // by hash
  std::deque<entry> order_;
};

}  // namespace trayrock

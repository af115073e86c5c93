// Which programs a gateway has seen lately.
//
// Not every turn names the one before it. A gateway knows that a program is
// under way when it has passed on a turn of it a short time ago.
//
// No I/O; the caller gives the time.
//
// Example:
//   recent_programs seen;
//   seen.note("program", now);
//   if (seen.knows("program", now)) go_on();
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

  // Programs that are remembered.
  std::size_t size() const { return last_ms_.size(); }

 private:
  struct sighting {
    std::uint64_t at_ms = 0;
    std::uint64_t hash = 0;
  };

  void forget_old(std::uint64_t now_ms);

  std::unordered_map<std::uint64_t, std::uint64_t> last_ms_;  // by hash
  std::deque<sighting> order_;
};

}  // namespace trayrock

// What service levels are judged by: counts of the last hour, by the minute.
//
// A node counts for each service and class; trayrockctl adds the nodes up and
// holds the sums against the declared objectives. Time is an argument.
//
// Example:
//   burn_windows windows;
//   windows.add({"assistant", "urgent"}, burn_count::programs, 1, now_ms);
//   double programs = windows.sum(key, burn_count::programs, 5, now_ms);
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace trayrock {

enum class burn_count {
  programs,       // ended
  late_programs,  // beyond their objective's time
  calls,          // settled or given up
  failed_calls,   // given up or unknown
  prompt_tokens,
  recomputed_tokens,
  queue_ms,  // waited at runners' nodes
  refusals,  // given up as not run
  retries,
  unknown,
};
constexpr std::size_t burn_counts = 10;

// The count's name in JSON.
std::string_view name_of(burn_count what);

struct burn_key {
  std::string service;
  std::string work_class;
  auto operator<=>(const burn_key&) const = default;  // NOLINT
};

class burn_windows {
 public:
  static constexpr std::uint64_t minutes = 60;

  void add(const burn_key& key, burn_count what, double amount,
           std::uint64_t now_ms);

  // Of the last so many minutes, the running one included.
  double sum(const burn_key& key, burn_count what, std::uint64_t last_minutes,
             std::uint64_t now_ms) const;

  // Every key with one list a count, oldest minute first.
  std::string json(std::uint64_t now_ms) const;

 private:
  struct minute_counts {
    std::uint64_t minute = 0;
    std::array<double, burn_counts> counts{};
  };
  using ring = std::array<minute_counts, minutes>;

  std::map<burn_key, ring> rings_;
};

}  // namespace trayrock

// Counters of the last hour, per minute, by service and class. trayrockctl adds
// up those of all nodes and compares them with the service level objectives.
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
  late_programs,  // took longer than their objective
  calls,          // settled or abandoned
  failed_calls,   // abandoned or with unknown outcome
  prompt_tokens,
  recomputed_tokens,
  queue_ms,  // time in the queues of endpoints
  refusals,  // abandoned without having run
  retries,
  unknown,
};
constexpr std::size_t burn_counts = 10;

// The counter's name in JSON.
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

  // The sum over the last minutes, including the current one.
  double sum(const burn_key& key, burn_count what, std::uint64_t last_minutes,
             std::uint64_t now_ms) const;

  // All counters as JSON: for each key, a list of values per counter, oldest
  // minute first.
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

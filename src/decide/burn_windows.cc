#include "trayrock/internal/decide/burn_windows.h"

#include <nlohmann/json.hpp>

namespace trayrock {
namespace {

constexpr std::uint64_t ms_per_minute = 60000;
constexpr std::array<std::string_view, burn_counts> names{
    "programs",     "late_programs", "calls",
    "failed_calls", "prompt_tokens", "recomputed_tokens",
    "queue_ms",     "refusals",      "retries",
    "unknown"};

}  // namespace

std::string_view name_of(burn_count what) {
  return names[static_cast<std::size_t>(what)];
}

void burn_windows::add(const burn_key& key, burn_count what, double amount,
                       std::uint64_t now_ms) {
  const std::uint64_t minute = now_ms / ms_per_minute;
  minute_counts& slot = rings_[key][minute % minutes];
  if (slot.minute != minute) {
    slot = minute_counts{};
    slot.minute = minute;
  }
  slot.counts[static_cast<std::size_t>(what)] += amount;
}

double burn_windows::sum(const burn_key& key, burn_count what,
                         std::uint64_t last_minutes,
                         std::uint64_t now_ms) const {
  const auto found = rings_.find(key);
  if (found == rings_.end()) {
    return 0;
  }
  const std::uint64_t now = now_ms / ms_per_minute;
  double sum = 0;
  for (const minute_counts& each : found->second) {
    if (each.minute + last_minutes > now && each.minute <= now) {
      sum += each.counts[static_cast<std::size_t>(what)];
    }
  }
  return sum;
}

std::string burn_windows::json(std::uint64_t now_ms) const {
  const std::uint64_t now = now_ms / ms_per_minute;
  nlohmann::json all = nlohmann::json::array();
  for (const auto& [key, ring] : rings_) {
    nlohmann::json made{{"service", key.service}, {"class", key.work_class}};
    for (std::size_t what = 0; what < burn_counts; ++what) {
      nlohmann::json row = nlohmann::json::array();
      for (std::uint64_t age = minutes; age > 0; --age) {
        const std::uint64_t minute = now + 1 - age;
        const minute_counts& slot = ring[minute % minutes];
        row.push_back(slot.minute == minute ? slot.counts[what] : 0.0);
      }
      made[std::string(names[what])] = std::move(row);
    }
    all.push_back(std::move(made));
  }
  return all.dump();
}

}  // namespace trayrock

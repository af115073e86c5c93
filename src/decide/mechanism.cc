#include "trayrock/internal/decide/mechanism.h"

#include <algorithm>
#include <array>

namespace trayrock {
namespace {

// In the order of the enumeration.
constexpr std::array<std::string_view, 26> names{"relays",
                                                 "failure_news",
                                                 "superseded_news",
                                                 "revision_news",
                                                 "refusal_pauses",
                                                 "endpoint_trials",
                                                 "previous_endpoint",
                                                 "distance_factor",
                                                 "connection_factor",
                                                 "late_by_comparison",
                                                 "late_endpoints_left",
                                                 "resumed_streams",
                                                 "stream_warnings",
                                                 "repeated_listings",
                                                 "lapses",
                                                 "chain_cache",
                                                 "durations",
                                                 "return_times",
                                                 "dropped_connections",
                                                 "shared_watches",
                                                 "draws_among_equals",
                                                 "levelled_latencies",
                                                 "prompt_placement",
                                                 "engine_pace",
                                                 "buffer_budget",
                                                 "ready_learners"};
static_assert(names.size() ==
              static_cast<std::size_t>(mechanism::ready_learners) + 1);

}  // namespace

std::span<const std::string_view> mechanism_names() { return names; }

std::optional<mechanism> parse_mechanism(std::string_view name) {
  const auto found = std::find(names.begin(), names.end(), name);
  if (found == names.end()) {
    return std::nullopt;
  }
  return static_cast<mechanism>(found - names.begin());
}

std::string names_of(const mechanism_set& set) {
  std::string joined;
  for (const mechanism each : set) {
    joined.append(joined.empty() ? "" : " ");
    joined.append(names.at(static_cast<std::size_t>(each)));
  }
  return joined;
}

}  // namespace trayrock

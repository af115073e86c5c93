#include "trayrock/internal/decide/routing.h"

#include <algorithm>

namespace trayrock {
namespace {

constexpr double ms_per_second = 1000;
// Wait that a call sent since the last report adds, as a share of a slot's
// typical time; reports come with every answer, so that few are unreported.
constexpr double unreported_call_ms = 20;
// A prefix is worth this many times its recompute time when the operators
// weigh wasted cache alone.
constexpr double most_cache_factor = 8;

double wait_of(const endpoint_candidate& each) {
  const bool busy = each.running + each.sent_since_report >= each.slots;
  const double unreported =
      busy ? unreported_call_ms * static_cast<double>(each.sent_since_report)
           : 0;
  return static_cast<double>(each.expected_wait_ms) + unreported;
}

double load_of(const endpoint_candidate& each) {
  return static_cast<double>(each.running + each.sent_since_report) /
         static_cast<double>(each.slots);
}

bool less_loaded(const endpoint_candidate& left,
                 const endpoint_candidate& right) {
  return std::pair(wait_of(left), load_of(left)) <
         std::pair(wait_of(right), load_of(right));
}

std::optional<std::size_t> find_prefix(
    const routing_request& request,
    std::span<const endpoint_candidate> runners) {
  for (std::size_t i = 0; i < runners.size(); ++i) {
    if (runners[i].endpoint == request.prefix_endpoint) {
      return i;
    }
  }
  return std::nullopt;
}

std::size_t least(std::span<const endpoint_candidate> runners) {
  const auto found =
      std::min_element(runners.begin(), runners.end(), less_loaded);
  return static_cast<std::size_t>(found - runners.begin());
}

struct chooser {
  const routing_request& request;
  std::span<const endpoint_candidate> runners;
  std::mt19937_64& random;

  std::size_t operator()(const round_robin&) const {
    return request.number % runners.size();
  }
  std::size_t operator()(const least_loaded&) const { return least(runners); }
  std::size_t operator()(const prefix_affinity&) const {
    const auto held = find_prefix(request, runners);
    return held ? *held : request.number % runners.size();
  }
  std::size_t operator()(const balanced& policy) const {
    const std::size_t other = better_of_two();
    const auto held = find_prefix(request, runners);
    if (!held) {
      return other;
    }
    const endpoint_candidate& holder = runners[*held];
    const double recompute_ms =
        ms_per_second * static_cast<double>(request.context_tokens) /
        static_cast<double>(holder.prefill_tokens_per_second);
    // At weight 0.5 a wait is worth as much as the same time of recompute.
    const double factor =
        policy.cache_weight <= 0.5
            ? 2 * policy.cache_weight
            : 1 + (policy.cache_weight - 0.5) * 2 * (most_cache_factor - 1);
    const double gain = wait_of(holder) - wait_of(runners[other]);
    return gain > recompute_ms * factor ? other : *held;
  }

  // Two sampled by chance: cheap, and no herd runs after one old report.
  std::size_t better_of_two() const {
    const std::size_t first = random() % runners.size();
    const std::size_t second = random() % runners.size();
    return less_loaded(runners[second], runners[first]) ? second : first;
  }
};

}  // namespace

routing_policy parse_routing_policy(std::string_view name,
                                    double cache_weight) {
  if (name == "round_robin") {
    return round_robin{};
  }
  if (name == "least_loaded") {
    return least_loaded{};
  }
  if (name == "prefix_affinity") {
    return prefix_affinity{};
  }
  return balanced{cache_weight};
}

std::optional<std::size_t> select_endpoint(
    const routing_policy& policy, const routing_request& request,
    std::span<const endpoint_candidate> runners, std::mt19937_64& random) {
  if (runners.empty()) {
    return std::nullopt;
  }
  return std::visit(chooser{request, runners, random}, policy);
}

}  // namespace trayrock

#include "trayrock/internal/decide/routing.h"

#include <algorithm>

namespace trayrock {
namespace {

constexpr double ms_per_second = 1000;
// Wait added by each call sent since the last report. Reports come with every
// reply, so few calls are unreported.
constexpr double unreported_call_ms = 20;
// Weight of a prefix's recompute time against wait at cache_weight 1.
constexpr double max_cache_factor = 8;

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
    std::span<const endpoint_candidate> candidates) {
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (candidates[i].endpoint == request.prefix_endpoint) {
      return i;
    }
  }
  return std::nullopt;
}

std::size_t least_loaded_index(std::span<const endpoint_candidate> candidates) {
  const auto found =
      std::min_element(candidates.begin(), candidates.end(), less_loaded);
  return static_cast<std::size_t>(found - candidates.begin());
}

struct chooser {
  const routing_request& request;
  std::span<const endpoint_candidate> candidates;
  std::mt19937_64& random;

  std::size_t operator()(const round_robin&) const {
    return request.number % candidates.size();
  }
  std::size_t operator()(const least_loaded&) const {
    return least_loaded_index(candidates);
  }
  std::size_t operator()(const prefix_affinity&) const {
    const auto cached = find_prefix(request, candidates);
    return cached ? *cached : request.number % candidates.size();
  }
  std::size_t operator()(const balanced& policy) const {
    const std::size_t other = better_of_two();
    const auto cached = find_prefix(request, candidates);
    if (!cached) {
      return other;
    }
    const endpoint_candidate& current = candidates[*cached];
    const double recompute_ms =
        ms_per_second * static_cast<double>(request.context_tokens) /
        static_cast<double>(current.prefill_tokens_per_second);
    // At weight 0.5, waiting and recomputing cost the same per millisecond.
    const double factor =
        policy.cache_weight <= 0.5
            ? 2 * policy.cache_weight
            : 1 + (policy.cache_weight - 0.5) * 2 * (max_cache_factor - 1);
    const double saved_wait_ms = wait_of(current) - wait_of(candidates[other]);
    return saved_wait_ms > recompute_ms * factor ? other : *cached;
  }

  // Power of two choices: avoids sending every call to the endpoint that an
  // outdated report shows as idle.
  std::size_t better_of_two() const {
    const std::size_t first = random() % candidates.size();
    const std::size_t second = random() % candidates.size();
    return less_loaded(candidates[second], candidates[first]) ? second : first;
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
    std::span<const endpoint_candidate> candidates, std::mt19937_64& random) {
  if (candidates.empty()) {
    return std::nullopt;
  }
  return std::visit(chooser{request, candidates, random}, policy);
}

}  // namespace trayrock

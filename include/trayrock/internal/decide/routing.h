// Choice of a runner for one call, at the program's owner.
//
// The baselines that operators would otherwise run stand beside the product's
// own policy, so that every measurement can put one against the other.
// Randomness and time are arguments; nothing here keeps a clock.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <variant>

namespace trayrock {

// What the owner knows of one runner that may take the call.
struct endpoint_candidate {
  std::string endpoint;
  std::uint64_t expected_wait_ms = 0;
  std::uint64_t report_age_ms = 0;      // how old that report is
  std::uint64_t sent_since_report = 0;  // calls this owner sent since
  std::uint64_t running = 0;
  std::uint64_t slots = 16;
  std::uint64_t prefill_tokens_per_second = 20000;
  bool same_place = true;
};

struct routing_request {
  std::uint64_t context_tokens = 0;  // prefix that a runner may hold
  std::string prefix_endpoint;       // where the program ran last
  std::uint64_t number = 0;          // counts this owner's calls
};

struct round_robin {};
struct least_loaded {};
struct prefix_affinity {};  // the prefix's runner, whatever its wait
struct balanced {
  double cache_weight = 0.5;  // 0: latency alone, 1: wasted cache alone
};
using routing_policy =
    std::variant<round_robin, least_loaded, prefix_affinity, balanced>;

routing_policy parse_routing_policy(std::string_view name, double cache_weight);

// The index of the chosen runner; nothing when there is none.
std::optional<std::size_t> select_endpoint(
    const routing_policy& policy, const routing_request& request,
    std::span<const endpoint_candidate> runners, std::mt19937_64& random);

}  // namespace trayrock

// Chooses the endpoint for a call, at the program's owner. The usual policies
// are offered as baselines to compare with `balanced`.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <variant>

namespace trayrock {

// The state of a candidate endpoint, as known to the owner.
struct endpoint_candidate {
  std::string endpoint;
  std::uint64_t expected_wait_ms = 0;
  std::uint64_t report_age_ms = 0;      // age of the last report
  std::uint64_t sent_since_report = 0;  // calls that this owner sent since
  std::uint64_t running = 0;
  std::uint64_t slots = 16;
  std::uint64_t prefill_tokens_per_second = 20000;
  bool same_place = true;
};

struct routing_request {
  std::uint64_t context_tokens = 0;  // length of the prefix that may be cached
  std::string prefix_endpoint;       // where the program's last call ran
  std::uint64_t number = 0;          // running count of this owner's calls
};

struct round_robin {};
struct least_loaded {};
struct prefix_affinity {};  // the endpoint with the prefix, at any wait
struct balanced {
  double cache_weight = 0.5;  // 0: latency alone, 1: cache use alone
};
using routing_policy =
    std::variant<round_robin, least_loaded, prefix_affinity, balanced>;

routing_policy parse_routing_policy(std::string_view name, double cache_weight);

// The index of the chosen endpoint; nothing if there are no candidates.
std::optional<std::size_t> select_endpoint(
    const routing_policy& policy, const routing_request& request,
    std::span<const endpoint_candidate> candidates, std::mt19937_64& random);

}  // namespace trayrock

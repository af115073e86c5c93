// Optional mechanisms that an experiment may disable to measure their effect.
//
// By default all are enabled; the settings may list some to disable
// (docs/SETTINGS.md, "trial"). The policy of each decision, such as
// `health_policy`, defines the behaviour without its mechanism.
//
// Example:
//   mechanism_set off;
//   if (const auto named = parse_mechanism("relays")) off.insert(*named);
#pragma once

#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace trayrock {

enum class mechanism {
  relays,               // calls to stores are relayed by another gateway
  failure_news,         // gateways report failing endpoints to each other
  superseded_news,      // gateways report superseded instances to each other
  revision_news,        // gateways send each other the newest known revision
  refusal_pauses,       // an endpoint that refuses requests gets a backoff
  endpoint_trials,      // endpoints are on probation after a backoff
  previous_endpoint,    // a turn goes to the endpoint of the previous turn
  distance_factor,      // endpoints of other data centres count as more loaded
  connection_factor,    // endpoints without a connection count as more loaded
  late_by_comparison,   // timeouts of endpoints follow the response times
  late_endpoints_left,  // requests to a slow endpoint are sent to another one
  resumed_streams,      // a broken stream resumes at another endpoint
  stream_warnings,      // a stream that does not begin is reported to peers
  repeated_listings,    // a listing without a response is requested again
  lapses,               // endpoints are kept after a mass expiry of records
  chain_cache,          // a gateway caches the texts of recent chains
  durations,            // a stopping gateway estimates durations by route
  return_times,         // clients get a delay until a successor has started
  dropped_connections,  // a failed connection closes its idle siblings
  shared_watches,       // few gateways watch the platform for all
  draws_among_equals,   // ties between endpoints are broken randomly
  levelled_latencies,   // small latency differences are ignored
  prompt_placement,     // turns go to the engine that holds their prompt
  engine_pace,          // first turns avoid engines that write slowly
  buffer_budget,        // a gateway bounds what it buffers for slow readers
  ready_learners        // more stores are learners than there are vacancies
};

using mechanism_set = std::set<mechanism>;

// All names, in the order above.
std::span<const std::string_view> mechanism_names();

// Returns no value if the name is unknown.
std::optional<mechanism> parse_mechanism(std::string_view name);

// The names of the set's mechanisms, separated by spaces.
std::string names_of(const mechanism_set& set);

}  // namespace trayrock

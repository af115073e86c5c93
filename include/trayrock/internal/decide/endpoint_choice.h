// Load balancing: chooses the endpoint of a service that a request is sent to.
// No I/O; the caller passes the time.
//
// A turn goes to the endpoint of the previous turn, whose cache holds its
// prompt, unless that endpoint has much more load than others
// (decide/turn_placement.h where no record names that endpoint). Otherwise the
// least loaded endpoint is chosen, weighted by distance and open connections.
// Each gateway counts only its own requests, so most endpoints look alike to
// it: ties are broken randomly and small latency differences are ignored, or
// else all gateways would send to the same few endpoints. Endpoints in backoff
// are used only if too few others are left. Nothing is sent to a data centre
// that is being evacuated, and cold endpoints get a limited rate
// (decide/cold_start.h).
//
// Example:
//   endpoint_criteria criteria;
//   criteria.service = "chat";
//   criteria.preferred = previous_turn.endpoint;
//   const endpoint_choice made =
//       choose_endpoint(endpoints, criteria, choice_policy(), now);
//   if (made.endpoint == nullptr) reject();
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>

#include "trayrock/internal/decide/endpoint_state.h"
#include "trayrock/internal/decide/turn_placement.h"

namespace trayrock {

// An endpoint's load counts this many times in another data centre, or without
// an open connection. High enough that one request in flight does not send the
// next one to another data centre, and low enough that a loaded endpoint does.
constexpr double default_elsewhere_factor = 3;
constexpr double default_unconnected_factor = 1.25;
// A cold endpoint is slow and its cache is empty.
constexpr double default_cold_factor = 2;

struct choice_policy {
  // A turn goes to the endpoint of the previous turn if that one is usable.
  bool keeps_previous = true;
  double elsewhere_factor = default_elsewhere_factor;
  double unconnected_factor = default_unconnected_factor;
  double cold_factor = default_cold_factor;
  // Otherwise the first of the least loaded endpoints is chosen.
  bool breaks_ties_randomly = true;
  // Latencies up to twice the median count as equal.
  bool ignores_latency_noise = true;
  // Turns that are placed by their prompt go to engines by their pace.
  bool weighs_engine_pace = true;

  bool operator==(const choice_policy&) const = default;
};

struct endpoint_criteria {
  std::string_view service;
  endpoint_identity preferred;  // its cache holds the prompt; empty: none
  std::string_view data_centre;
  std::function<bool(const endpoint&)> connected;
  const std::set<endpoint_identity>* excluded = nullptr;
  // The request may run only once, so it avoids endpoints on probation.
  bool at_most_once = false;
  // A random number for this request, which breaks ties.
  std::uint64_t draw = 0;
  // Places a turn by its prompt (decide/turn_placement.h); nothing: by load.
  std::optional<turn_criteria> turn;
};

// Why an endpoint was chosen.
enum class choice_reason {
  load,           // the least loaded one
  previous_turn,  // it ran the previous turn, by the turn's record
  cached,         // it holds the prompt, by the stores or recent placements
  hash            // it ranks first for the program
};

std::string_view text_of(choice_reason reason);

// How many times the load of an endpoint counts for its distance, a new
// connection and a cold start.
double cost_factor(const endpoint_state& at, const endpoint_criteria& criteria,
                   const choice_policy& policy, std::uint64_t now_ms);

// The most requests of an endpoint for which it is kept, though another one has
// only `least_requests`.
double max_requests_to_keep(std::uint32_t least_requests);

struct endpoint_choice {
  endpoint_state_ptr endpoint;  // nullptr: no endpoint of the service is usable
  choice_reason reason = choice_reason::load;
};

endpoint_choice choose_endpoint(std::span<const endpoint_state_ptr> endpoints,
                                const endpoint_criteria& criteria,
                                const choice_policy& policy,
                                std::uint64_t now_ms);

// The choice for criteria with a turn, among endpoints that may be used.
// Requires `candidates` not to be empty.
endpoint_choice place_turn(std::span<const endpoint_state_ptr> candidates,
                           const endpoint_criteria& criteria,
                           const choice_policy& policy, std::uint64_t now_ms);

}  // namespace trayrock

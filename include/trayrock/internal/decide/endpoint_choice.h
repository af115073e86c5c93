// Which endpoint of a service a request goes to.
//
// No I/O; the caller gives the time. A turn goes to the endpoint that made the
// turn before, whose cache holds its prompt, unless that one has much more to
// do than others. Else the least loaded endpoint is taken, where those of the
// same data centre and those to which a connection is open count as less
// loaded. A gateway sees its own requests only; with many gateways that is so
// few that most endpoints look alike. So what looks alike is drawn from, and an
// endpoint's latency counts only where it lies far above what is usual: else
// all gateways send to the same few (test/endpoint_choice_load_test.cc plays
// it). Endpoints that have failed lately are taken only if too few others are
// left. Nothing goes to a data centre that is being emptied, and to endpoints
// that have just started no more than they bear (decide/cold_start.h).
//
// Example:
//   endpoint_choice wanted;
//   wanted.service = "chat";
//   wanted.preferred = turn_before.endpoint;
//   const endpoint_state_ptr to =
//       choose_endpoint(of_chat, wanted, choice_policy(), now);
#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <span>
#include <string>
#include <string_view>

#include "trayrock/internal/decide/endpoint_state.h"

namespace trayrock {

// What a request to another data centre, or on a new connection, costs in
// time and money, as a share of the load of a request that is close.
//
// High enough that a single request under way does not send the next one to
// another data centre, and low enough that a loaded one does.
constexpr double default_elsewhere_factor = 3;
constexpr double default_unconnected_factor = 1.25;
// A cold endpoint is slow, and its cache holds nothing yet.
constexpr double default_cold_factor = 2;

// How endpoints are weighed.
struct choice_policy {
  // A turn goes to the endpoint of the turn before, if that one may take it.
  bool keeps_previous = true;
  double elsewhere_factor = default_elsewhere_factor;
  double unconnected_factor = default_unconnected_factor;
  double cold_factor = default_cold_factor;
  // What is equally loaded is drawn from; else the first one is taken.
  bool breaks_ties_randomly = true;
  // Latencies near the usual one count alike; else each counts by itself.
  bool ignores_latency_noise = true;

  bool operator==(const choice_policy&) const = default;
};

struct endpoint_criteria {
  std::string_view service;
  endpoint_identity preferred;  // has the prompt in its cache; empty: none
  std::string_view data_centre;
  std::function<bool(const endpoint&)> connected;
  const std::set<endpoint_identity>* excluded = nullptr;
  // May run only once: not for endpoints on trial.
  bool at_most_once = false;
  // Draws among equals: any number, another one for each request.
  std::uint64_t draw = 0;
};

// Nothing if none of the service's endpoints may be sent to.
endpoint_state_ptr choose_endpoint(
    std::span<const endpoint_state_ptr> of_service,
    const endpoint_criteria& wanted, const choice_policy& policy,
    std::uint64_t now_ms);

}  // namespace trayrock

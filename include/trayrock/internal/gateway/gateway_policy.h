// How a gateway decides: the policies of its decisions in one place.
//
// The defaults are the product's. Trials leave mechanisms out, to show what
// each is worth (tools/ablate).
//
// Example:
//   const gateway_policy policy = policy_without({mechanism::relays});
//   endpoint_directory endpoints(policy.endpoints);
#pragma once

#include "trayrock/internal/decide/duration_estimator.h"
#include "trayrock/internal/decide/mechanism.h"
#include "trayrock/internal/decide/retry_after.h"
#include "trayrock/internal/decide/slow_endpoint_detector.h"
#include "trayrock/internal/decide/watch_roles.h"
#include "trayrock/internal/gateway/endpoint_directory.h"

namespace trayrock {

// What gateways tell each other, beside configurations.
struct peer_notifier_policy {
  bool failures = true;
  bool superseded = true;
  bool revisions = true;

  bool operator==(const peer_notifier_policy&) const = default;
};

struct gateway_policy {
  directory_policy endpoints;
  slow_endpoint_policy late;
  peer_notifier_policy peer_notifier;
  duration_source durations = by_recent_requests{};
  retry_after_policy return_times = by_balancer{};
  watch_sharing watches = few_watch{};
  bool relays = true;
  bool resumes_streams = true;
  // A stream that may not go on elsewhere and does not begin is told to other
  // gateways.
  bool warns_of_streams = true;
  bool repeats_listings = true;
  bool caches_chains = true;
  // Idle connections to an endpoint go with one that failed.
  bool drops_connections = true;

  bool operator==(const gateway_policy&) const = default;
};

// The product's policy without the mechanisms. Those of record stores change
// nothing here.
gateway_policy policy_without(const mechanism_set& off);

}  // namespace trayrock

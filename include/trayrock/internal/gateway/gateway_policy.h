// Policies of a gateway. Ablation runs disable single mechanisms
// (tools/ablate).
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

// What gateways report to each other, besides configurations.
struct peer_notifier_policy {
  bool failures = true;
  bool superseded = true;
  bool revisions = true;

  bool operator==(const peer_notifier_policy&) const = default;
};

struct gateway_policy {
  directory_policy endpoints;
  slow_endpoint_policy slow_endpoints;
  peer_notifier_policy peer_notifier;
  duration_source durations = by_recent_requests{};
  retry_after_policy retry_after = by_balancer{};
  watch_sharing watches = few_watch{};
  bool relays = true;
  bool resumes_streams = true;
  // Reports an endpoint to other gateways when a stream that can't be resumed
  // elsewhere doesn't begin in time.
  bool reports_slow_streams = true;
  bool repeats_listings = true;
  bool caches_chains = true;
  // Places turns by the prompts that engines hold, where clients send the
  // whole conversation with each turn.
  bool places_by_prompt = true;
  // Closes idle connections to an endpoint after one of them failed.
  bool drops_connections = true;
  // Bounds what is buffered, if the settings have a memory limit.
  bool bounds_buffers = true;

  bool operator==(const gateway_policy&) const = default;
};

// The default policy without the mechanisms. Those of record stores have no
// effect here.
gateway_policy policy_without(const mechanism_set& off);

}  // namespace trayrock

// Handles one client request: routing, permit, token reservation and history,
// endpoint choice, forwarding, and storage of the finished turn.
//
// A request that may run only once is never sent again after an endpoint may
// have started it.
//
// Example:
//   http1_server clients(loop, limits,
//                        [&](http1_request request, http1_exchange_ptr out) {
//                          serve_request(context, std::move(request),
//                                        std::move(out));
//                        });
#pragma once

#include <functional>
#include <map>
#include <string>

#include "trayrock/internal/decide/duration_estimator.h"
#include "trayrock/internal/decide/recent_placements.h"
#include "trayrock/internal/decide/recent_programs.h"
#include "trayrock/internal/decide/slow_endpoint_detector.h"
#include "trayrock/internal/gateway/buffer_limiter.h"
#include "trayrock/internal/gateway/chain_cache.h"
#include "trayrock/internal/gateway/configuration.h"
#include "trayrock/internal/gateway/endpoint_directory.h"
#include "trayrock/internal/gateway/gateway_policy.h"
#include "trayrock/internal/gateway/poison_guard.h"
#include "trayrock/internal/gateway/shutdown_observers.h"
#include "trayrock/internal/metrics.h"
#include "trayrock/internal/net/http1_client.h"
#include "trayrock/internal/net/http1_server.h"
#include "trayrock/internal/records/permit_client.h"
#include "trayrock/internal/records/record_client.h"

namespace trayrock {

// Shared by all requests of one gateway. Must be valid while the loop runs.
struct gateway_context {
  event_loop& loop;
  http1_pool& pool;
  record_client& records;
  permit_client& permits;
  endpoint_directory& endpoints;
  chain_cache& chains;
  metrics_registry& metrics;
  duration_estimator& durations;
  std::map<std::string, slow_endpoint_detector, std::less<>>&
      slow_detectors;  // by service
  recent_programs& programs;
  recent_placements& placements;
  buffer_limiter& buffers;
  poison_guard& poison;
  shutdown_observers& on_shutdown;  // notified shortly before the process stops
  std::string data_centre;
  gateway_policy policy;
  std::function<configuration_ptr()> configuration;  // nullptr: none yet
  // Whether the configuration was recently confirmed to be the newest.
  std::function<bool()> configuration_proven;
  // Milliseconds since the platform last confirmed the list of endpoints.
  std::function<std::uint64_t()> endpoints_age_ms;
  // Time until open requests need a response because the process stops; the
  // largest value while it isn't stopping.
  std::function<milliseconds()> time_to_shutdown;
  // Retry-After for requests that are rejected because the process stops.
  std::function<milliseconds()> retry_after_draining;
  // How long this gateway has been isolated from all peers; 0: it is not.
  std::function<milliseconds()> isolated_for;
  // Called for an endpoint that failed, or is slow, after it got a request.
  std::function<void(const endpoint_identity&)> endpoint_failed;
  // Called for an endpoint at whose address another instance responded.
  std::function<void(const endpoint_identity&)> endpoint_superseded;
};

// Serves one request until its response has ended.
void serve_request(const gateway_context& context, http1_request request,
                   http1_exchange_ptr out);

}  // namespace trayrock

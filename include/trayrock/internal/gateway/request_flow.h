// The life of one client's request in the gateway.
//
// Route, get a permit if the workspace's rate is limited, reserve and read the
// history (turns), choose an endpoint, send, pass
// the answer on, record what was said. A request that may run only once is
// never sent a second time after an endpoint may have begun it. A request that
// is given up is answered at once.
//
// Example:
//   http1_server clients(loop, limits,
//                        [&](http1_request request, http1_exchange_ptr out) {
//                          serve_request(parts, std::move(request),
//                                        std::move(out));
//                        });
#pragma once

#include <functional>
#include <map>
#include <string>

#include "trayrock/internal/decide/duration_estimator.h"
#include "trayrock/internal/decide/recent_programs.h"
#include "trayrock/internal/decide/slow_endpoint_detector.h"
#include "trayrock/internal/gateway/chain_cache.h"
#include "trayrock/internal/gateway/configuration.h"
#include "trayrock/internal/gateway/endpoint_directory.h"
#include "trayrock/internal/gateway/gateway_policy.h"
#include "trayrock/internal/metrics.h"
#include "trayrock/internal/net/http1_client.h"
#include "trayrock/internal/net/http1_server.h"
#include "trayrock/internal/records/permit_client.h"
#include "trayrock/internal/records/record_client.h"

namespace trayrock {

// What the requests of one gateway share. Whoever owns the parts keeps them
// for as long as the loop runs.
struct gateway_parts {
  event_loop& loop;
  http1_pool& pool;
  record_client& records;
  permit_client& permits;
  endpoint_directory& endpoints;
  chain_cache& chains;
  metrics_registry& metrics;
  duration_estimator& durations;
  std::map<std::string, slow_endpoint_detector, std::less<>>&
      late_rules;  // by service
  recent_programs& programs;
  std::string data_centre;
  gateway_policy policy;
  std::function<configuration_ptr()> configuration;  // nullptr: none yet
  // Whether that was the newest one a short time ago.
  std::function<bool()> configuration_proven;
  // Milliseconds since the platform last answered about the endpoints.
  std::function<std::uint64_t()> endpoints_age_ms;
  // Until the process ends; the largest value while it goes on. What has begun
  // by then and is not answered gets its final answer.
  std::function<milliseconds()> time_to_end;
  // When clients that are turned away because the process stops should come
  // back.
  std::function<milliseconds()> back_after_stopping;
  // How long this gateway has been cut off from all others; 0: it is not.
  std::function<milliseconds()> cut_off_for;
  // Told of each endpoint that began a request and did not answer it whole.
  std::function<void(const endpoint_identity&)> endpoint_failed;
  // Told of each endpoint at whose address another instance answered.
  std::function<void(const endpoint_identity&)> endpoint_superseded;
};

// Serves one request; the flow lives until its answer has ended.
void serve_request(const gateway_parts& parts, http1_request request,
                   http1_exchange_ptr out);

}  // namespace trayrock

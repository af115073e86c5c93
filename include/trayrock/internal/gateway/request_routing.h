// Resolves a request's route, service, workspace and time limit.
//
// A request keeps the configuration that it began with.
//
// Example:
//   request_routing routing;
//   if (const auto error = routing.resolve(configuration, request, facts)) {
//     reject(*error);
//   }
//   if (const auto error =
//           routing.apply_time_limits(facts, durations, time_to_shutdown)) {
//     reject(*error);
//   }
//   routing.route().name;
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "trayrock/errors.h"
#include "trayrock/internal/decide/duration_estimator.h"
#include "trayrock/internal/gateway/configuration.h"
#include "trayrock/internal/gateway/request_metadata.h"
#include "trayrock/internal/net/http1_server.h"
#include "trayrock/internal/net/loop.h"

namespace trayrock {

class request_routing {
 public:
  // Finds the route, the service and the workspace. Errors:
  // errc::not_configured, errc::unknown_route, errc::missing_header or
  // errc::unknown_key; what was found before the error is kept for the report.
  std::optional<errc> resolve(configuration_ptr configuration,
                              const http1_request& request,
                              const request_metadata& facts);

  // Checks that the key still belongs to the same workspace in a newer
  // configuration. Errors: errc::unknown_key.
  std::optional<errc> check_key(const trayrock::configuration* now,
                                const request_metadata& facts) const;

  // Sets the time limit: the least of the client's deadline, the route's
  // timeout and the time until the process stops. Requires a route. Errors:
  // errc::stopping.
  std::optional<errc> apply_time_limits(const request_metadata& facts,
                                        const duration_estimator& durations,
                                        milliseconds time_to_shutdown);

  // nullptr until resolved.
  const trayrock::configuration* configuration() const {
    return configuration_.get();
  }
  const trayrock::route* found_route() const { return route_; }

  // The following require a route.
  const trayrock::route& route() const { return *route_; }
  std::string_view service() const { return service_; }
  bool is_repeatable() const { return route_->kind == repetition::repeatable; }
  bool is_at_most_once() const { return route_->kind == repetition::once; }
  bool is_stream() const { return route_->kind == repetition::stream; }
  bool is_resumable() const { return is_stream() && route_->resumable; }

  bool requires_key() const {
    return configuration_->workspaces.has_value() && !route_->is_public;
  }

  // nullptr where no key is required.
  const trayrock::workspace* owner() const { return owner_; }
  std::string_view workspace_name() const {
    return owner_ == nullptr ? std::string_view() : owner_->name;
  }

  // From the arrival of the request.
  milliseconds time_limit() const { return time_limit_; }

  // Whether the process stops before the client's deadline and the route's
  // timeout.
  bool is_limited_by_shutdown() const { return limited_by_shutdown_; }

  // Whether the service's endpoints are model engines.
  bool targets_engine() const;

  // Whether turns are placed by their prompts (decide/turn_placement.h).
  bool places_by_prompt() const;

  // Of the service's engine; 1 if it is unknown.
  std::uint64_t tokens_per_event() const;

 private:
  configuration_ptr configuration_;
  const trayrock::route* route_ = nullptr;
  std::string_view service_;
  const trayrock::workspace* owner_ = nullptr;
  milliseconds time_limit_{0};
  bool limited_by_shutdown_ = false;
};

}  // namespace trayrock

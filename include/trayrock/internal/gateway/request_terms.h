// On what terms the gateway takes a request: its route and service, and how
// long it is held.
//
// The configuration that a request began with stays its own to the end.
//
// Example:
//   request_terms terms;
//   if (const auto why = terms.find(configuration, request, facts)) {
//     refuse(*why);
//   }
//   if (const auto why = terms.fit(facts, durations, time_to_end)) {
//     refuse(*why);
//   }
//   terms.route().name;
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

class request_terms {
 public:
  // Finds the route, the service and the workspace. Refused with
  // errc::not_configured, errc::unknown_route, errc::missing_header or
  // errc::unknown_key; what was found until then is there for the report.
  std::optional<errc> find(configuration_ptr from, const http1_request& request,
                           const request_metadata& facts);

  // Whether the key still belongs to the same workspace in a configuration that
  // came into force while the request waited. Refused with errc::unknown_key.
  std::optional<errc> check_key(const configuration* now,
                                const request_metadata& facts) const;

  // Fits the request into the time of its client, of its route, and that which
  // is left until the process ends. Refused with errc::stopping. Called once
  // the route is found.
  std::optional<errc> fit(const request_metadata& facts,
                          const duration_estimator& durations,
                          milliseconds time_to_end);

  // nullptr until found.
  const configuration* from() const { return from_.get(); }
  const trayrock::route* found_route() const { return route_; }

  // Of a request whose route was found.
  const trayrock::route& route() const { return *route_; }
  std::string_view service() const { return service_; }
  bool repeatable() const { return route_->kind == repetition::repeatable; }
  bool once() const { return route_->kind == repetition::once; }
  bool stream() const { return route_->kind == repetition::stream; }
  bool resumable() const { return stream() && route_->resumable; }

  // Whether the request had to show a key.
  bool asks_for_key() const {
    return from_->workspaces.has_value() && !route_->is_public;
  }

  // nullptr where no key is asked for.
  const trayrock::workspace* owner() const { return owner_; }
  std::string_view workspace_name() const {
    return owner_ == nullptr ? std::string_view() : owner_->name;
  }

  // How long the request is held, from its coming.
  milliseconds hold() const { return hold_; }

  // Whether the service's endpoints are model engines.
  bool at_engine() const;

  // Of the service's engine; one where it is not known.
  std::uint64_t tokens_per_event() const;

 private:
  configuration_ptr from_;
  const trayrock::route* route_ = nullptr;
  std::string_view service_;
  const trayrock::workspace* owner_ = nullptr;
  milliseconds hold_{0};
};

}  // namespace trayrock

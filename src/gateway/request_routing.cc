#include "trayrock/internal/gateway/request_routing.h"

#include <algorithm>

namespace trayrock {
namespace {

// For routes without a timeout.
constexpr milliseconds default_timeout{10000};

// Requests with the same key go to the same service.
std::string_view placement_key(const request_metadata& facts) {
  return facts.program.empty() ? std::string_view(facts.attempt)
                               : std::string_view(facts.program);
}

}  // namespace

std::optional<errc> request_routing::resolve(configuration_ptr configuration,
                                             const http1_request& request,
                                             const request_metadata& facts) {
  configuration_ = std::move(configuration);
  if (configuration_ == nullptr) {
    return errc::not_configured;
  }
  route_ =
      find_route(*configuration_, request.headers.find("Host"), request.target);
  if (route_ == nullptr) {
    return errc::unknown_route;
  }
  if (facts.attempt.empty()) {
    return errc::missing_header;
  }
  service_ = pick_service(*route_, placement_key(facts));
  if (requires_key()) {
    owner_ = configuration_->workspaces->owner_of(facts.key);
    if (owner_ == nullptr) {
      return errc::unknown_key;
    }
  }
  return std::nullopt;
}

std::optional<errc> request_routing::check_key(
    const trayrock::configuration* now, const request_metadata& facts) const {
  if (owner_ == nullptr || now == configuration_.get() || !now->workspaces) {
    return std::nullopt;
  }
  const trayrock::workspace* owner = now->workspaces->owner_of(facts.key);
  const bool same = owner != nullptr && owner->name == owner_->name;
  return same ? std::nullopt : std::optional(errc::unknown_key);
}

std::optional<errc> request_routing::apply_time_limits(
    const request_metadata& facts, const duration_estimator& durations,
    milliseconds time_to_shutdown) {
  time_limit_ = route_->timeout.count() > 0 ? route_->timeout : default_timeout;
  time_limit_ = std::min(time_limit_, facts.time_left.value_or(time_limit_));
  const partial_delivery midway =
      is_stream() ? partial_delivery::yes : partial_delivery::no;
  if (durations.needed(route_->name, midway) > time_to_shutdown) {
    return errc::stopping;
  }
  limited_by_shutdown_ = time_to_shutdown < time_limit_;
  time_limit_ = std::min(time_limit_, time_to_shutdown);
  return std::nullopt;
}

bool request_routing::targets_engine() const {
  const auto found = configuration_->services.find(service_);
  return found != configuration_->services.end() &&
         found->second.engine.has_value();
}

bool request_routing::places_by_prompt() const {
  const auto found = configuration_->services.find(service_);
  return found != configuration_->services.end() &&
         found->second.gets_resent_conversations;
}

std::uint64_t request_routing::tokens_per_event() const {
  return targets_engine() ? configuration_->services.find(service_)
                                ->second.engine->tokens_per_event
                          : 1;
}

}  // namespace trayrock

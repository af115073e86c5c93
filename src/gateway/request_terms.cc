#include "trayrock/internal/gateway/request_terms.h"

#include <algorithm>

namespace trayrock {
namespace {

// Of a route that names no timeout.
constexpr milliseconds default_timeout{10000};

// Requests with the same key go to the same service.
std::string_view placement_key(const request_metadata& facts) {
  return facts.program.empty() ? std::string_view(facts.attempt)
                               : std::string_view(facts.program);
}

}  // namespace

std::optional<errc> request_terms::find(configuration_ptr from,
                                        const http1_request& request,
                                        const request_metadata& facts) {
  from_ = std::move(from);
  if (from_ == nullptr) {
    return errc::not_configured;
  }
  route_ = find_route(*from_, request.headers.find("Host"), request.target);
  if (route_ == nullptr) {
    return errc::unknown_route;
  }
  if (facts.attempt.empty()) {
    return errc::missing_header;
  }
  service_ = pick_service(*route_, placement_key(facts));
  if (asks_for_key()) {
    owner_ = from_->workspaces->owner_of(facts.key);
    if (owner_ == nullptr) {
      return errc::unknown_key;
    }
  }
  return std::nullopt;
}

std::optional<errc> request_terms::check_key(
    const configuration* now, const request_metadata& facts) const {
  if (owner_ == nullptr || now == from_.get() || !now->workspaces) {
    return std::nullopt;
  }
  const trayrock::workspace* owner = now->workspaces->owner_of(facts.key);
  const bool same = owner != nullptr && owner->name == owner_->name;
  return same ? std::nullopt : std::optional(errc::unknown_key);
}

std::optional<errc> request_terms::fit(const request_metadata& facts,
                                       const duration_estimator& durations,
                                       milliseconds time_to_end) {
  hold_ = route_->timeout.count() > 0 ? route_->timeout : default_timeout;
  hold_ = std::min(hold_, facts.time_left.value_or(hold_));
  const partial_delivery midway =
      stream() ? partial_delivery::yes : partial_delivery::no;
  if (durations.needed(route_->name, midway) > time_to_end) {
    return errc::stopping;
  }
  hold_ = std::min(hold_, time_to_end);
  return std::nullopt;
}

bool request_terms::at_engine() const {
  const auto found = from_->services.find(service_);
  return found != from_->services.end() && found->second.engine.has_value();
}

std::uint64_t request_terms::tokens_per_event() const {
  return at_engine()
             ? from_->services.find(service_)->second.engine->tokens_per_event
             : 1;
}

}  // namespace trayrock

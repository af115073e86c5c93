// Passive health check of an endpoint: decides from failed requests when the
// gateway backs off from it. No I/O; the caller passes the time.
//
// Failures of this gateway's requests and those that other gateways report
// count as evidence, which decays exponentially. Reports of a single gateway
// never suffice, since its own network may be the cause. Repeated failures
// double the backoff. After a backoff the endpoint is on probation until it
// responds: requests that may run only once go elsewhere. An endpoint that
// refuses requests gets a short backoff, since being idle makes it look like
// the best choice.
//
// Example:
//   endpoint_health health;
//   health.record_failure(now);
//   health.record_peer_failure("gateway-2", now);
//   if (health.is_in_backoff(now)) use_another();
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace trayrock {

struct health_policy {
  bool backs_off_after_refusals = true;
  // After a backoff, the endpoint is on probation until it responds.
  bool has_probation_after_backoff = true;

  bool operator==(const health_policy&) const = default;
};

class endpoint_health {
 public:
  endpoint_health() = default;
  explicit endpoint_health(health_policy policy) : policy_(policy) {}

  // A request of this gateway got no complete response. Returns true if this
  // starts a backoff; so do the functions below.
  bool record_failure(std::uint64_t now_ms);

  // A request of another gateway failed at the endpoint.
  bool record_peer_failure(std::string_view gateway, std::uint64_t now_ms);

  // The connection attempt failed.
  bool record_unreachable(std::uint64_t now_ms);

  // The endpoint refused a request without running it.
  bool record_refusal(std::uint64_t now_ms);

  void record_response(std::uint64_t now_ms);

  bool is_in_backoff(std::uint64_t now_ms) const {
    return in_failure_backoff(now_ms) || refusal_backoff_until_ms_ > now_ms;
  }

  // True after a backoff until the endpoint responds, for a limited time.
  bool is_on_probation(std::uint64_t now_ms) const;

 private:
  bool in_failure_backoff(std::uint64_t now_ms) const {
    return backoff_until_ms_ > now_ms;
  }
  void add_evidence(std::uint64_t now_ms);
  bool start_backoff_if(bool due, std::uint64_t now_ms);

  health_policy policy_;
  double evidence_ = 0;
  std::uint64_t evidence_at_ms_ = 0;
  std::uint32_t consecutive_failures_ = 0;
  std::uint32_t backoff_doublings_ = 0;
  std::uint64_t backoff_until_ms_ = 0;
  std::uint32_t refusal_doublings_ = 0;
  std::uint64_t refusal_backoff_until_ms_ = 0;
  bool responded_since_backoff_ = true;
  // When each gateway's last counted report was received.
  std::map<std::string, std::uint64_t, std::less<>> reported_at_ms_;
};

}  // namespace trayrock

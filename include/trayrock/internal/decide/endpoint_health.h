// Whether an endpoint is to be left alone for a while, by what requests see.
//
// No I/O; the caller gives the time. Evidence is failures: of this gateway's
// own requests, and those that other gateways report. It fades within about a
// second. One gateway's reports alone never suffice, since its own network may
// be the cause. An endpoint that fails again soon after a pause is left alone
// for longer. After a pause it is on trial until it has answered: requests that
// may run only once go elsewhere, since those that it leaves unanswered are
// lost. One that refuses is left alone for a moment only: it does no harm, but
// having nothing to do makes it look like the best choice.
//
// Example:
//   endpoint_health health;
//   health.failed(now);
//   health.reported("gateway-2", now);
//   if (health.avoided(now)) use_another();
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace trayrock {

// What an endpoint's health goes by, beside failures.
struct health_policy {
  // One that refuses is left alone for a moment.
  bool backs_off_after_refusals = true;
  // One behind a pause is on trial until it has answered.
  bool has_probation_after_backoff = true;

  bool operator==(const health_policy&) const = default;
};

class endpoint_health {
 public:
  endpoint_health() = default;
  explicit endpoint_health(health_policy policy) : policy_(policy) {}

  // A request of this gateway got no whole answer. True if the endpoint is
  // left alone from now on and was not before; likewise below.
  bool record_failure(std::uint64_t now_ms);

  // A request of another gateway failed there.
  bool record_peer_failure(std::string_view gateway, std::uint64_t now_ms);

  // No connection could be made.
  bool record_unreachable(std::uint64_t now_ms);

  // A request was refused, and not run.
  bool record_refusal(std::uint64_t now_ms);

  // A request was answered.
  void record_response(std::uint64_t now_ms);

  bool is_in_backoff(std::uint64_t now_ms) const {
    return paused(now_ms) || refused_until_ms_ > now_ms;
  }

  // True behind a pause, while the endpoint has not answered.
  bool is_on_probation(std::uint64_t now_ms) const;

 private:
  // Left alone for its failures.
  bool paused(std::uint64_t now_ms) const { return avoided_until_ms_ > now_ms; }
  void add_evidence(std::uint64_t now_ms);
  bool avoid_if_due(bool due, std::uint64_t now_ms);

  health_policy policy_;
  double evidence_ = 0;
  std::uint64_t evidence_at_ms_ = 0;
  std::uint32_t failures_in_row_ = 0;
  std::uint32_t pauses_in_row_ = 0;
  std::uint64_t avoided_until_ms_ = 0;
  std::uint32_t refusals_in_row_ = 0;
  std::uint64_t refused_until_ms_ = 0;
  bool answered_since_pause_ = true;
  // When each gateway's last counted report came.
  std::map<std::string, std::uint64_t, std::less<>> reported_at_ms_;
};

}  // namespace trayrock

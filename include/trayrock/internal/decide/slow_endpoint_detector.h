// Decides when a request is sent again to another endpoint because the first
// one is slow to respond. One object per service; no clock, the caller
// measures.
//
// Handles a single endpoint that hangs or is much slower than the others. If
// all endpoints are slow, sending requests again would only add load. So the
// timeout follows the service's recent response times, and only a share of the
// requests may be sent again.
//
// Example:
//   slow_endpoint_detector detector;
//   detector.record_first_byte(milliseconds(31));
//   const auto timeout = detector.first_byte_timeout(objective);
//   if (waited > timeout && detector.acquire_resend()) send_to_another();
#pragma once

#include <chrono>
#include <cstdint>
#include <variant>

#include "trayrock/internal/decide/retry_budget.h"

namespace trayrock {

// What the timeout depends on: the service's response times and the route's
// objective, or the objective only.
struct compared_with_service {
  bool operator==(const compared_with_service&) const = default;
};
struct objective_only {
  bool operator==(const objective_only&) const = default;
};
using slow_criterion = std::variant<compared_with_service, objective_only>;

struct slow_endpoint_policy {
  slow_criterion criterion = compared_with_service{};
  bool allows_resend = true;  // false: only reports slow endpoints

  bool operator==(const slow_endpoint_policy&) const = default;
};

class slow_endpoint_detector {
 public:
  using milliseconds = std::chrono::milliseconds;

  explicit slow_endpoint_detector(slow_endpoint_policy policy = {});

  // Records the time to the first byte of a response, or the time after which
  // the request was moved to another endpoint.
  void record_first_byte(milliseconds after);

  // The time to wait for the first byte; at least `min_timeout`.
  milliseconds first_byte_timeout(milliseconds min_timeout) const;

  // Takes one resend from the budget. False: keep waiting for the slow
  // endpoint.
  bool acquire_resend() { return policy_.allows_resend && budget_.try_spend(); }

 private:
  milliseconds timeout_by(const compared_with_service&,
                          milliseconds min_timeout) const;
  static milliseconds timeout_by(const objective_only&,
                                 milliseconds min_timeout) {
    return min_timeout;
  }

  slow_endpoint_policy policy_;
  double mean_ms_ = 0;
  double deviation_ms_ = 0;  // mean distance from the mean
  std::uint64_t response_count_ = 0;
  retry_budget budget_;
};

}  // namespace trayrock

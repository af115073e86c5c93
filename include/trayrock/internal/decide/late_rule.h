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
//   late_rule detector;
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
struct objective_alone {
  bool operator==(const objective_alone&) const = default;
};
using slow_criterion = std::variant<compared_with_service, objective_alone>;

struct late_policy {
  slow_criterion limit = compared_with_service{};
  bool leaves = true;  // false: only reports slow endpoints

  bool operator==(const late_policy&) const = default;
};

class late_rule {
 public:
  using milliseconds = std::chrono::milliseconds;

  explicit late_rule(late_policy policy = {});

  // Records the time to the first byte of a response, or the time after which
  // the request was moved to another endpoint.
  void answer_began(milliseconds after);

  // The time to wait for the first byte; at least `min_timeout`.
  milliseconds late_after(milliseconds min_timeout) const;

  // Takes one resend from the budget. False: keep waiting for the slow
  // endpoint.
  bool leave() { return policy_.leaves && budget_.spend(); }

 private:
  milliseconds timeout_by(const compared_with_service&,
                          milliseconds min_timeout) const;
  static milliseconds timeout_by(const objective_alone&,
                                 milliseconds min_timeout) {
    return min_timeout;
  }

  late_policy policy_;
  double mean_ms_ = 0;
  double deviation_ms_ = 0;  // mean distance from the mean
  std::uint64_t response_count_ = 0;
  retry_budget budget_;
};

}  // namespace trayrock

// When an endpoint that gives nothing is left for another one.
//
// Answers the load in which one endpoint hangs or is far slower than the
// others, and keeps out of the load in which all of them are slow: then work
// that is begun anew elsewhere only adds to the queue. So an endpoint is late
// by comparison with what answers of its service take, and no more than a share
// of the requests may be begun anew.
//
// No clock: the caller measures. One object for each service.
//
// Example:
//   slow_endpoint_detector rule;
//   rule.answer_began(milliseconds(31));
//   rule.late_after(objective);  // the objective, as long as answers are quick
//   if (rule.leave()) send_to_another();
#pragma once

#include <chrono>
#include <cstdint>
#include <variant>

#include "trayrock/internal/decide/retry_budget.h"

namespace trayrock {

// What a late endpoint is compared with: the answers of its service, or the
// objective of its route alone.
struct compared_with_service {
  bool operator==(const compared_with_service&) const = default;
};
struct objective_only {
  bool operator==(const objective_only&) const = default;
};
using late_limit = std::variant<compared_with_service, objective_only>;

struct slow_endpoint_policy {
  late_limit criterion = compared_with_service{};
  bool allows_resend = true;  // for another endpoint; false: only warns of it

  bool operator==(const slow_endpoint_policy&) const = default;
};

class slow_endpoint_detector {
 public:
  using milliseconds = std::chrono::milliseconds;

  explicit slow_endpoint_detector(slow_endpoint_policy policy = {});

  // An endpoint began its answer after this time; or it was left then.
  void record_first_byte(milliseconds after);

  // How long an endpoint may give nothing; `least` at the least.
  milliseconds first_byte_timeout(milliseconds least) const;

  // Whether one more late endpoint may be left. False: wait on.
  bool acquire_resend() { return policy_.allows_resend && budget_.try_spend(); }

 private:
  milliseconds limit_of(const compared_with_service&, milliseconds least) const;
  static milliseconds limit_of(const objective_only&, milliseconds least) {
    return least;
  }

  slow_endpoint_policy policy_;
  double mean_ms_ = 0;
  double deviation_ms_ = 0;  // mean distance from the mean
  std::uint64_t seen_ = 0;
  retry_budget budget_;
};

}  // namespace trayrock

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
//   late_rule rule;
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
struct objective_alone {
  bool operator==(const objective_alone&) const = default;
};
using late_limit = std::variant<compared_with_service, objective_alone>;

struct late_policy {
  late_limit limit = compared_with_service{};
  bool leaves = true;  // for another endpoint; false: only warns of it

  bool operator==(const late_policy&) const = default;
};

class late_rule {
 public:
  using milliseconds = std::chrono::milliseconds;

  explicit late_rule(late_policy policy = {});

  // An endpoint began its answer after this time; or it was left then.
  void answer_began(milliseconds after);

  // How long an endpoint may give nothing; `least` at the least.
  milliseconds late_after(milliseconds least) const;

  // Whether one more late endpoint may be left. False: wait on.
  bool leave() { return policy_.leaves && budget_.spend(); }

 private:
  milliseconds limit_of(const compared_with_service&, milliseconds least) const;
  static milliseconds limit_of(const objective_alone&, milliseconds least) {
    return least;
  }

  late_policy policy_;
  double mean_ms_ = 0;
  double deviation_ms_ = 0;  // mean distance from the mean
  std::uint64_t seen_ = 0;
  retry_budget budget_;
};

}  // namespace trayrock

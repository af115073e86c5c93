#include "trayrock/internal/decide/retry_after.h"

#include <algorithm>

namespace trayrock {
namespace {

using std::chrono::milliseconds;

// For clients whose next connection reaches another gateway.
constexpr milliseconds at_once{50};
// The balancer checks health once a second and requires two failed checks; one
// more second for a delayed check.
constexpr milliseconds balancer_notice{3000};
// A balancer without another gateway sends connections at shorter intervals
// than this.
constexpr milliseconds max_connection_interval{1000};
// Clients give up after six attempts. With this delay, these outlast the start
// of a successor or a short outage of the platform. Clients wait at most a
// third of the time that they have left.
constexpr milliseconds recovery_delay{1500};

milliseconds delay_by(const always_immediate&, const drain_view&) {
  return at_once;
}

milliseconds delay_by(const by_balancer&, const drain_view& view) {
  const bool next_gateway_serves =
      view.draining_for < balancer_notice ||
      view.since_last_connection > max_connection_interval;
  return next_gateway_serves ? at_once : recovery_delay;
}

// Other clients wait for the same permit. No client waits longer than a third
// of its deadline, which is mostly five seconds.
constexpr milliseconds max_at_limit{1500};
constexpr milliseconds min_at_limit{100};

}  // namespace

milliseconds retry_after_delay(const drain_view& view,
                               retry_after_policy policy) {
  return std::visit([&](const auto& by) { return delay_by(by, view); }, policy);
}

milliseconds retry_after_when_isolated(milliseconds isolated_for) {
  return std::max(balancer_notice - isolated_for, at_once);
}

milliseconds retry_after_when_config_stale() { return recovery_delay; }

milliseconds retry_after_at_limit(milliseconds next) {
  return std::clamp(next, min_at_limit, max_at_limit);
}

}  // namespace trayrock

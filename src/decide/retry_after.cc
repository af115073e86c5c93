#include "trayrock/internal/decide/retry_after.h"

#include <algorithm>

namespace trayrock {
namespace {

using std::chrono::milliseconds;

// Another gateway serves the next connection.
constexpr milliseconds at_once{50};
// The balancer asks once a second and goes by two answers; one more second for
// a late one.
constexpr milliseconds balancer_notice{3000};
// Connections that come more seldom than this are none that the balancer sends
// for want of another gateway. The smallest site opens some dozen a second.
constexpr milliseconds still_sent{1000};
// Six tries, after which clients give up, outlast with this pause the 4.2 s
// from a gateway's last request to its successor's first (measured). They wait
// no longer than a third of the time that they have left, mostly 1.7 s.
// An outage of the platform leaves keys without service for as long.
constexpr milliseconds until_served_again{1500};

milliseconds time_by(const always_immediate&, const drain_view&) {
  return at_once;
}

milliseconds time_by(const by_balancer&, const drain_view& view) {
  const bool elsewhere = view.draining_for < balancer_notice ||
                         view.since_last_connection > still_sent;
  return elsewhere ? at_once : until_served_again;
}

// Others wait for the same permit. Longer than this no client waits: a third of
// the five seconds that most have.
constexpr milliseconds longest_at_limit{1500};
constexpr milliseconds shortest_at_limit{100};

}  // namespace

milliseconds retry_after_delay(const drain_view& view,
                               retry_after_policy rule) {
  return std::visit([&](const auto& by) { return time_by(by, view); }, rule);
}

milliseconds retry_after_when_isolated(milliseconds cut_off_for) {
  return std::max(balancer_notice - cut_off_for, at_once);
}

milliseconds retry_after_when_config_stale() { return until_served_again; }

milliseconds retry_after_at_limit(milliseconds next) {
  return std::clamp(next, shortest_at_limit, longest_at_limit);
}

}  // namespace trayrock

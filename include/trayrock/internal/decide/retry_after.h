// The delay after which a rejected client should retry. No I/O and no clock.
//
// The balancer needs some health checks to notice that a gateway is stopping;
// then it sends connections to other gateways, and a client may retry at once.
// If it continues to send connections here, all gateways of this data centre
// are stopping, and clients are served again when the first successor has
// started.
//
// Example:
//   drain_view view;
//   view.draining_for = milliseconds(6000);
//   view.since_last_connection = milliseconds(40);
//   const milliseconds delay = retry_after_delay(view);  // 1500 ms
#pragma once

#include <chrono>
#include <variant>

namespace trayrock {

struct drain_view {
  std::chrono::milliseconds draining_for{0};
  // Since the balancer last sent a connection here.
  std::chrono::milliseconds since_last_connection{0};
};

// Whether the delay depends on the connections that the balancer sends.
struct by_balancer {
  bool operator==(const by_balancer&) const = default;
};
struct always_immediate {
  bool operator==(const always_immediate&) const = default;
};
using retry_after_policy = std::variant<by_balancer, always_immediate>;

std::chrono::milliseconds retry_after_delay(
    const drain_view& view, retry_after_policy policy = by_balancer{});

// For a gateway that has been isolated for this long: clients reach another
// gateway once the balancer has noticed.
std::chrono::milliseconds retry_after_when_isolated(
    std::chrono::milliseconds isolated_for);

// For a workspace whose limit is reached; `next` is the time until a permit may
// be available.
std::chrono::milliseconds retry_after_at_limit(std::chrono::milliseconds next);

// For a key that can't be served because neither the platform nor a peer has
// confirmed that the configuration is the newest. Long enough that a client's
// retries outlast a short outage of the platform.
std::chrono::milliseconds retry_after_when_config_stale();

}  // namespace trayrock

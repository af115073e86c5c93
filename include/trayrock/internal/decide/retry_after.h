// When a client that a stopping gateway turns away should come back.
//
// No I/O and no clock. The balancer needs a moment to notice that a gateway
// stops. Then it sends its connections elsewhere, so that the client's next
// one is served at once. If it goes on sending some here, the gateways of this
// data centre are all stopping, and the client is served when a process that
// follows one of them has started.
//
// Example:
//   drain_view view;
//   view.draining_for = milliseconds(6000);
//   view.since_last_connection = milliseconds(40);
//   const milliseconds wait = retry_after_delay(view);  // 1500 ms
#pragma once

#include <chrono>
#include <variant>

namespace trayrock {

struct drain_view {
  std::chrono::milliseconds draining_for{0};
  // Since the balancer last sent a connection here.
  std::chrono::milliseconds since_last_connection{0};
};

// What clients are told goes by: what the balancer does, or nothing.
struct by_balancer {
  bool operator==(const by_balancer&) const = default;
};
struct always_immediate {
  bool operator==(const always_immediate&) const = default;
};
using retry_after_policy = std::variant<by_balancer, always_immediate>;

std::chrono::milliseconds retry_after_delay(
    const drain_view& view, retry_after_policy rule = by_balancer{});

// The same of a gateway that has been cut off from all others for this long:
// its clients find another one once the balancer has noticed.
std::chrono::milliseconds retry_after_when_isolated(
    std::chrono::milliseconds cut_off_for);

// When a client should come back whose workspace's limit is reached; `next` is
// how long until a permit may be there.
std::chrono::milliseconds retry_after_at_limit(std::chrono::milliseconds next);

// When a client should come back whose key cannot be served, since neither the
// platform nor other gateways have shown for seconds that the configuration is
// the newest: the platform is out for all, most likely, and back soon. Clients
// who came back earlier would use up their tries (test/retry_after_test.cc
// plays one).
std::chrono::milliseconds retry_after_when_config_stale();

}  // namespace trayrock

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
//   const milliseconds wait = return_time(view);  // 1500 ms
#pragma once

#include <chrono>

namespace trayrock {

struct drain_view {
  std::chrono::milliseconds draining_for{0};
  // Since the balancer last sent a connection here.
  std::chrono::milliseconds since_last_connection{0};
};

std::chrono::milliseconds return_time(const drain_view& view);

}  // namespace trayrock

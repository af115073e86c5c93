// Which endpoint of a service a request goes to.
//
// No I/O; the caller gives the time. A turn goes to the endpoint that made the
// turn before, whose cache holds its prompt, unless that one has much more to
// do than others. Else the least loaded endpoint is taken, where those of the
// same data centre and those to which a connection is open count as less
// loaded. Endpoints that have failed lately are taken only if too few others
// are left.
//
// Example:
//   endpoint_choice wanted;
//   wanted.service = "chat";
//   wanted.preferred = "runner-2";
//   const endpoint_state_ptr to = choose_endpoint(of_chat, wanted, now);
#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <span>
#include <string>
#include <string_view>

#include "trayrock/internal/gateway/endpoint_state.h"

namespace trayrock {

struct endpoint_choice {
  std::string_view service;
  std::string_view preferred;  // endpoint with the prompt in its cache, if any
  std::string_view data_centre;
  std::function<bool(const endpoint&)> connected;
  const std::set<std::string>* excluded = nullptr;
  // May run only once: not for endpoints on trial.
  bool once = false;
};

// Nothing if none of the service's endpoints may be sent to.
endpoint_state_ptr choose_endpoint(
    std::span<const endpoint_state_ptr> of_service,
    const endpoint_choice& wanted, std::uint64_t now_ms);

}  // namespace trayrock

// Error responses of the gateway.
//
// Example:
//   respond_error(*out, errc::endpoints_full,
//                 default_retry_after(errc::endpoints_full));
//   // 503, "Retry-After: 0.150", and the code and its message as JSON
#pragma once

#include "trayrock/errors.h"
#include "trayrock/internal/net/http1_server.h"

namespace trayrock {

// Retry-After for an error; zero: none. Errors whose delay depends on the
// gateway's state have theirs in decide/retry_after_delay.h.
milliseconds default_retry_after(errc why);

// Responds with the status of the code, and with Retry-After unless it is zero.
void respond_error(http1_exchange& out, errc why, milliseconds retry_after);

}  // namespace trayrock

// The gateway's own answers, to requests that no endpoint answered.
//
// Example:
//   respond_error(*out, errc::endpoints_full);
//   // 503, "Retry-After: 0.150", and the code and its message as JSON
#pragma once

#include "trayrock/errors.h"
#include "trayrock/internal/net/http1_server.h"

namespace trayrock {

// Answers with the status of the code, and with when the client should try
// again if that may help.
void respond_error(http1_exchange& out, errc why);

}  // namespace trayrock

// The gateway's own answers, to requests that no endpoint answered.
//
// Example:
//   respond_error(*out, errc::endpoints_full, milliseconds(150));
//   // 503, "Retry-After: 0.150", and the code and its message as JSON
#pragma once

#include "trayrock/errors.h"
#include "trayrock/internal/net/http1_server.h"
#include "trayrock/internal/net/loop.h"

namespace trayrock {

// Answers with the status of the code. `come_back` is when the client should
// try again; zero leaves that open.
void respond_error(http1_exchange& out, errc why, milliseconds come_back);

}  // namespace trayrock

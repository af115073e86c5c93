// The gateway's own answers, to requests that no endpoint answered.
//
// Example:
//   respond_error(*out, errc::endpoints_full,
//                 back_after(errc::endpoints_full));
//   // 503, "Retry-After: 0.150", and the code and its message as JSON
#pragma once

#include "trayrock/errors.h"
#include "trayrock/internal/net/http1_server.h"

namespace trayrock {

// When a client should try again that got this error; zero: it is not told.
// That of a gateway that stops depends on others (decide/retry_after_delay.h).
milliseconds back_after(errc why);

// Answers with the status of the code, and with when the client should try
// again unless that is zero.
void respond_error(http1_exchange& out, errc why, milliseconds come_back);

}  // namespace trayrock

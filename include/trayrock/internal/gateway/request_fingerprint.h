// Identifies the content of a request, whichever attempt carries it.
//
// Repeats by clients and programs have a new attempt id, less time and, for a
// resumed stream, the last event received; all else is the same. So the
// fingerprint covers what an endpoint works on and what the repeats keep: the
// workspace, method, host, target and body, the program, session and previous
// turn, the parts of the prompt, and the object. Unknown headers may differ
// between repeats (such as those of a tracing library) and are left out.
//
// Example:
//   const request_fingerprint same =
//       fingerprint_of(request, metadata, workspace);
#pragma once

#include <string>
#include <string_view>

#include "trayrock/internal/decide/poison_requests.h"
#include "trayrock/internal/gateway/request_metadata.h"
#include "trayrock/internal/net/http1_server.h"

namespace trayrock {

// Never 0.
request_fingerprint fingerprint_of(const http1_request& request,
                                   const request_metadata& metadata,
                                   std::string_view workspace);

// Sixteen hexadecimal digits, for logs.
std::string fingerprint_text(request_fingerprint of);

}  // namespace trayrock

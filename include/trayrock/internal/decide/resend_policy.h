// Decides whether a request is sent to another endpoint after one did not
// complete its response.
//
// Enforces "at most once": a request that may run only once is never sent
// again. A repeatable request is sent again until its client has received a
// first byte. A resumable stream is sent again until its client has received an
// event, and resumes after the last event from then on. The operator limits the
// number of endpoints per request.
//
// Example:
//   resend_view view;
//   view.kind = repetition::repeatable;
//   view.sends = 1;
//   view.max_sends = 2;
//   resend_after_failure(view);  // resend::again
#pragma once

#include <cstdint>

#include "trayrock/internal/gateway/configuration.h"

namespace trayrock {

struct resend_view {
  repetition kind = repetition::once;
  bool resumable = false;   // streams of the route may resume elsewhere
  std::uint32_t sends = 0;  // endpoints that the request was sent to
  std::uint32_t max_sends = 1;
  bool response_started = false;  // the client has a part of the response
  bool has_last_event = false;    // which ends with an event that has an id
};

enum class resend {
  never,
  again,  // from the start
  resume  // after the last event that the client has received
};

// For a request that an endpoint may have started but did not complete.
resend resend_after_failure(const resend_view& view);

// True if the request may be sent to another endpoint while the first one is
// slow to respond.
bool may_abandon_slow_endpoint(const resend_view& view);

}  // namespace trayrock

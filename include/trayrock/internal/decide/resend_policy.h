// Whether a request goes on at another endpoint after one did not answer it
// whole.
//
// Guards "at most once": what may run only once never goes on. A repeatable
// request is sent again until its client has got a first byte. A resumable
// stream is sent again until its client has got an event, and behind that goes
// on after the last one. The operator's number of endpoints bounds all of it.
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
  bool resumable = false;   // the route's streams may go on elsewhere
  std::uint32_t sends = 0;  // endpoints that it was sent to
  std::uint32_t max_sends = 1;
  bool response_started = false;  // the client has got a part of the answer
  bool has_last_event = false;    // which ends with an event that has an id
};

enum class resend {
  never,
  again,  // from its start
  resume  // behind the last event that the client has got
};

// After an endpoint may have begun the request and did not end it.
resend resend_after_failure(const resend_view& view);

// True when an endpoint that is late may be left for another one.
bool may_abandon_slow_endpoint(const resend_view& view);

}  // namespace trayrock

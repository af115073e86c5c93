// What a gateway knows of one endpoint: its record, and how the attempts there
// have been doing.
//
// Example:
//   endpoint_state at;
//   at.record = listed;
//   at.health.refused(now);
//   if (at.health.avoided(now)) use_another();
#pragma once

#include <cstdint>
#include <memory>

#include "trayrock/internal/decide/endpoint_health.h"
#include "trayrock/internal/gateway/configuration.h"

namespace trayrock {

// How an attempt at an endpoint ended.
enum class attempt_outcome {
  answered,
  refused,         // the endpoint says that it did not run the request
  other_instance,  // likewise, since it is not the one that was meant
  cancelled,       // the client went away first
  unreachable,     // never sent
  broken           // sent, and the answer did not come whole
};

struct endpoint_state {
  endpoint record;
  std::uint32_t in_flight = 0;  // of this gateway
  endpoint_health health;
  double latency_ms = 0;  // smoothed, of answered attempts; 0: none yet
  std::uint64_t latency_at_ms = 0;  // when the last of them was answered
  // Not listed any more, and used until then; 0: listed.
  std::uint64_t kept_until_ms = 0;
  // Another endpoint sits at its address: this instance does not come back,
  // whatever a late record of the platform says.
  bool superseded = false;
};

// Shared with the attempts at the endpoint, which may outlast its record.
using endpoint_state_ptr = std::shared_ptr<endpoint_state>;

}  // namespace trayrock

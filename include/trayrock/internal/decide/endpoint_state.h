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

#include "trayrock/internal/decide/cold_start.h"
#include "trayrock/internal/decide/endpoint_health.h"
#include "trayrock/internal/gateway/configuration.h"

namespace trayrock {

// How an attempt at an endpoint ended.
enum class attempt_outcome {
  responded,
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
  bool evacuated = false;  // its data centre is being emptied

  cold_limit cold;                  // of its service
  std::uint64_t cold_until_ms = 0;  // as its record says; 0: it is not
  // Likewise, where nothing has been said yet: behind an evacuation, or after a
  // failure that may have been a restart.
  std::uint64_t presumed_cold_until_ms = 0;
  std::uint32_t cold_share = 0;  // of this gateway, in any second
  second_window sent;            // where its service has a limit

  // On trial, too, it may have restarted.
  bool is_cold(std::uint64_t now_ms) const {
    return cold.exists() &&
           (cold_until_ms > now_ms || presumed_cold_until_ms > now_ms ||
            health.is_on_probation(now_ms));
  }

  // It is cold, and this gateway has no more requests for it in this second.
  bool is_cold_limit_reached(std::uint64_t now_ms) const {
    return is_cold(now_ms) && sent.count(now_ms) >= cold_share;
  }
};

// Shared with the attempts at the endpoint, which may outlast its record.
using endpoint_state_ptr = std::shared_ptr<endpoint_state>;

}  // namespace trayrock

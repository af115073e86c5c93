// A gateway's state of one endpoint: its record, its load and its health.
//
// Example:
//   endpoint_state at;
//   at.record = listed;
//   at.health.record_refusal(now);
//   if (at.health.is_in_backoff(now)) use_another();
#pragma once

#include <cstdint>
#include <memory>

#include "trayrock/internal/decide/cold_start.h"
#include "trayrock/internal/decide/endpoint_health.h"
#include "trayrock/internal/decide/engine_pace.h"
#include "trayrock/internal/gateway/configuration.h"

namespace trayrock {

// How an attempt at an endpoint ended.
enum class attempt_outcome {
  responded,
  refused,         // the endpoint reports that it did not run the request
  other_instance,  // not run, since it was meant for another instance
  cancelled,       // ended here, for its client or for memory
  unreachable,     // the request was never sent
  broken           // sent, but the response did not arrive completely
};

struct endpoint_state {
  endpoint record;
  std::uint32_t in_flight = 0;  // requests of this gateway
  endpoint_health health;
  double latency_ms = 0;            // smoothed, of responses; 0: none yet
  std::uint64_t latency_at_ms = 0;  // time of the last response
  engine_pace pace;                 // of model engines
  // 0: listed; else no longer listed, and usable until this time.
  std::uint64_t kept_until_ms = 0;
  // Another endpoint has taken over its address: this instance must not be used
  // again, even if a delayed platform record still lists it.
  bool superseded = false;
  bool evacuated = false;  // its data centre is being evacuated

  cold_limit cold;                  // of its service
  std::uint64_t cold_until_ms = 0;  // from its record; 0: not cold
  // Assumed without a record: after an evacuation, or after a failure that may
  // have been a restart.
  std::uint64_t presumed_cold_until_ms = 0;
  std::uint32_t cold_share = 0;  // requests of this gateway in any second
  one_second_window sent;        // used where its service has a limit

  // An endpoint on probation may have restarted, so it counts as cold.
  bool is_cold(std::uint64_t now_ms) const {
    return cold.exists() &&
           (cold_until_ms > now_ms || presumed_cold_until_ms > now_ms ||
            health.is_on_probation(now_ms));
  }

  // True if it is cold and this gateway has used up its share of this second.
  bool is_cold_limit_reached(std::uint64_t now_ms) const {
    return is_cold(now_ms) && sent.count(now_ms) >= cold_share;
  }
};

// Shared with the attempts at the endpoint, which may outlast its record.
using endpoint_state_ptr = std::shared_ptr<endpoint_state>;

}  // namespace trayrock

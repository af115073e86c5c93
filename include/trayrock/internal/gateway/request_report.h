// Log line and metrics of a finished request.
//
// Example:
//   request_report made;
//   made.route = "chat";
//   made.outcome = "answered";
//   report_request(metrics, metadata, made);  // logs "request_done"
#pragma once

#include <cstdint>
#include <string>

#include "trayrock/internal/decide/poison_requests.h"
#include "trayrock/internal/gateway/request_metadata.h"
#include "trayrock/internal/metrics.h"

namespace trayrock {

struct request_report {
  std::string route = "none";
  std::string workspace;            // empty: none
  request_fingerprint content = 0;  // the same for repeats; 0: not routed
  std::uint64_t configuration = 0;  // version; 0: none yet
  std::string endpoint;             // the last one chosen
  std::string placed_by;            // why it was chosen
  std::uint64_t endpoints_age_ms = 0;
  std::uint64_t epoch = 0;  // of the group of record stores
  std::uint32_t sends = 0;
  int unreachable = 0;           // failed connections
  std::uint64_t permit_us = 0;   // until the permit was granted or denied
  std::uint64_t reserve_us = 0;  // until the stores replied
  std::uint64_t head_us = 0;     // until the head of the response
  std::uint64_t keep_us = 0;     // duration of storing the turn
  std::uint64_t total_us = 0;
  std::uint64_t events = 0;        // complete ones
  std::uint64_t events_begun = 0;  // more than `events`: ended inside an event
  std::string framing;             // of the response's body; empty: no response
  int status = 0;
  std::string outcome;
};

void report_request(metrics_registry& metrics, const request_metadata& metadata,
                    const request_report& ended);

}  // namespace trayrock

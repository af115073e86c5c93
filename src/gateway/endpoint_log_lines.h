// Log lines about many endpoints at once.
//
// Example:
//   log_changes(changes);
//   log_info("endpoints_dropped", {{"endpoints", ids_text(removed)}});
#pragma once

#include <span>
#include <string>

#include "records.pb.h"

namespace trayrock {

// Lists the ids; above a limit, the number of those left out.
std::string ids_text(std::span<const std::string> ids);

// Logs the endpoint changes of one response of the platform.
void log_changes(const records::EndpointChanges& changes);

// Logs that an instance is in backoff after a report of another gateway.
void log_avoided(const records::EndpointIdentity& instance,
                 const records::EndpointNews& report);

}  // namespace trayrock

// Log lines about many endpoints at once.
//
// Example:
//   log_changes(said);
//   log_info("endpoints_dropped", {{"endpoints", ids_text(gone)}});
#pragma once

#include <span>
#include <string>

#include "records.pb.h"

namespace trayrock {

// The ids, cut short where there are too many.
std::string ids_text(std::span<const std::string> ids);

// What the platform has said of endpoints in one answer.
void log_changes(const records::EndpointChanges& said);

// An instance is left alone for what another gateway has told.
void log_avoided(const records::EndpointIdentity& instance,
                 const records::EndpointNews& news);

}  // namespace trayrock

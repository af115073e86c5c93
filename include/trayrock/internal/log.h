// Logging by log4cplus: one line an event, to standard error.
//
// Rotation is the platform's. A line carries the event's name and then
// key=value pairs; program, call and attempt come under these names.
//
// Example:
//   log_info("call_refused", {{"program", id}, {"call", "3"}});
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace trayrock {

using log_pairs =
    std::initializer_list<std::pair<std::string_view, std::string>>;

// Prepares logging for the process; level is one of debug, info, warn, error.
void start_logging(std::string_view process, std::string_view level);

void log_debug(std::string_view event, log_pairs pairs);
void log_info(std::string_view event, log_pairs pairs);
void log_warn(std::string_view event, log_pairs pairs);
void log_error(std::string_view event, log_pairs pairs);

}  // namespace trayrock

// Logging by log4cplus: one JSON object a line, to standard output.
//
// A line has time, level, process and event, and then the event's fields;
// requests, programs and endpoints have fields of these names. Writing never
// blocks: if the reader is slow, lines are dropped, and counted by the event
// "log_lines_dropped". The platform rotates the log.
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
